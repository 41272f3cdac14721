import { connect, type Socket } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';
import { SoakOrganisation } from './buildSoakConfiguration.js';
import type { SoakHost } from './startSoakFleet.js';
import type { Fault } from './types.js';

const CONNECTIONS = 4;
const MAX_BODY_BYTES = 100_000; // of the configuration
const BLOCK = 'a'.repeat(65_536);
const SEND_INTERVAL_MS = 20;
const CHUNKS: Readonly<Record<string, string>> = {
  large: `10000\r\n${BLOCK}\r\n`,
  tiny: '1\r\na\r\n'.repeat(500),
};

/** Sends the head of a chunked request; its id is of no caller, so that a run of it breaks a check. */
function openRequest({ name, callerPort }: SoakHost, index: number): Socket {
  const socket = connect(callerPort, '127.0.0.1');
  // The host may reset the connection.
  socket.on('error', () => undefined);
  socket.resume();
  socket.write(
    `POST /lookup/x HTTP/1.1\r\nHost: depots.example\r\nAuthorization: Bearer key-${SoakOrganisation.depots}\r\n` +
      `Request-Id: excess-${name}-${index}\r\nDeadline-Ms: 3000\r\nTransfer-Encoding: chunked\r\n\r\n`,
  );
  return socket;
}

/** Sends chunked bodies that are too long, in tiny chunks, or unfinished just below the limit, for a time. */
export async function applyExcess(host: SoakHost, { how, forMs }: Fault): Promise<void> {
  const sockets = Array.from({ length: CONNECTIONS }, (_, index) => openRequest(host, index));
  const untilMs = performance.now() + forMs;
  const length = MAX_BODY_BYTES - 1;
  if (how === 'unfinished')
    for (const socket of sockets)
      socket.write(`${length.toString(16)}\r\n${'a'.repeat(length - 1)}`);
  while (performance.now() < untilMs) {
    const chunk = CHUNKS[how];
    for (const socket of sockets)
      if (chunk !== undefined && socket.writable && !socket.writableNeedDrain) socket.write(chunk);
    await wait(SEND_INTERVAL_MS);
  }
  for (const socket of sockets) socket.destroy();
}
