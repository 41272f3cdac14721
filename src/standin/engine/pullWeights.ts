import { request as sendRequest } from 'undici';

const WEIGHT_LOAD_TIMEOUT_MS = 600_000;

/** Loads the weights of an item kind from the weight store at an origin; resolves once they have arrived. */
export async function pullWeights(weightStore: string, kind: string): Promise<void> {
  const body = JSON.stringify({ kind });
  const timeouts = {
    headersTimeout: WEIGHT_LOAD_TIMEOUT_MS,
    bodyTimeout: WEIGHT_LOAD_TIMEOUT_MS,
  };
  const reply = await sendRequest(`${weightStore}/weights/load`, {
    method: 'POST',
    body,
    ...timeouts,
  });
  await reply.body.dump();
}
