import { Agent, Pool } from 'undici';
import {
  createResettingClient,
  type ResettingClientOptions,
} from '../createResettingClient/index.js';

/** Creates an agent whose connections are those of `createResettingClient`. */
export function createResettingAgent(options: ResettingClientOptions = {}): Agent {
  return new Agent({
    factory: (origin) =>
      new Pool(origin, { factory: (target) => createResettingClient(target, options) }),
  });
}
