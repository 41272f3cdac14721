import { z } from 'zod';
import { createResettingAgent } from '../http/createResettingAgent/index.js';
import { createListSchema } from '../../common/createListSchema.js';
import { EngineControlError } from '../../errors/index.js';
import { ItemKind, ReportedState, type EngineControl } from '../../ports/engine.js';

const orderReply = z.object({
  accepted: z.boolean(),
  engineClockMs: z.number(),
  reason: z.string().optional(),
});

const MAX_ANSWER_BYTES = 1_048_576; // a report of thousands of models and adapters
const MAX_REPORTED_ITEMS = 16_384;

const engineReport = z.object({
  incarnation: z.string(),
  asOfMs: z.number(),
  engineClockMs: z.number(),
  memoryBytes: z.number(),
  inFlight: z.number(),
  items: createListSchema(
    z.object({
      kind: z.enum(ItemKind),
      name: z.string(),
      version: z.string(),
      bytes: z.number(),
      state: z.enum(ReportedState),
    }),
    { maximumLength: MAX_REPORTED_ITEMS },
  ),
});

/** Creates an engine control that sends orders and reads reports over HTTP. */
export function createEngineControl(timeoutMs = 1000): EngineControl {
  const agent = createResettingAgent({ maxResponseSize: MAX_ANSWER_BYTES });
  const requestJson = async <T>(url: string, schema: z.ZodType<T>, order?: unknown): Promise<T> => {
    try {
      const { origin, pathname, search } = new URL(url);
      const { statusCode, body } = await agent.request({
        origin,
        path: `${pathname}${search}`,
        method: order === undefined ? 'GET' : 'POST',
        headers: { 'content-type': 'application/json' },
        ...(order === undefined ? {} : { body: JSON.stringify(order) }),
        signal: AbortSignal.timeout(timeoutMs),
      });
      const text = await body.text();
      if (statusCode !== 200)
        throw new EngineControlError(`engine responded with status ${statusCode}`);
      return schema.parse(JSON.parse(text));
    } catch (cause) {
      throw new EngineControlError(`request to ${url} failed`, { cause });
    }
  };
  return {
    sendOrder: (origin, order) => requestJson(`${origin}/control/orders`, orderReply, order),
    readReport: (origin) => requestJson(`${origin}/control/report`, engineReport),
  };
}
