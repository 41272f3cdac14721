import { setTimeout as wait } from 'node:timers/promises';
import { createModelOrderClient } from '../../platform/modelOrderClient.js';

// Sends an order to the port of the first argument and ends the process before an answer.
const log = { info: () => undefined, warn: () => undefined, error: () => undefined };
const order = { action: 'load', model: 'oak', expectedCount: 3, holder: 'h', fence: 7 } as const;
const server = {
  id: 'e1',
  incarnation: 'e1/1',
  address: '127.0.0.1',
  port: Number(process.argv[2]),
};
void createModelOrderClient({ log, nowMs: () => 0 }).send(server, order, () => true);
await wait(200);
process.exit(0);
