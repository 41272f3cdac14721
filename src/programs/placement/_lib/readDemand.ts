import { request } from 'undici';
import { z } from 'zod';
import { createResettingAgent } from '../../../adapters/http/createResettingAgent/index.js';
import type { Demand } from '../../../decisions/placement/types.js';

const TIMEOUT_MS = 1000;
const dispatcher = createResettingAgent();
const statusBody = z.object({ demand: z.record(z.string(), z.number()) });

/** Reads the demand of the fleet from an entry host's status; rejects when it is unreachable. */
export async function readDemand(origin: string): Promise<Demand> {
  const signal = AbortSignal.timeout(TIMEOUT_MS);
  const { body } = await request(`${origin}/status`, { dispatcher, signal });
  return statusBody.parse(await body.json()).demand;
}
