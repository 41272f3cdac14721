import { RateRefusal, type Admission } from '../../../coordination/createRateLimiter/index.js';
import { RequestClass } from '../../../decisions/bundle/types.js';
import { MILLISECONDS_PER_SECOND } from '../../../decisions/rate/constants/index.js';
import type { AdmissionParameters, Caller, EntryContext } from '../types.js';
import { isKeyValid } from './authenticate.js';
import { createRefusal, createKeyWithdrawnFailure } from './refusals.js';
import { ExecutionOutcome } from '../../../errors/index.js';

/** Longest wait in milliseconds for tokens and a backend server, where the bundle names none. */
export const DEFAULT_DEADLINE_MS: Record<RequestClass, number> = {
  [RequestClass.interactive]: 1000,
  [RequestClass.standard]: 5000,
  [RequestClass.batch]: 60_000,
};

/** Priority that engines are given; lower goes first. */
export const ENGINE_PRIORITIES: Record<RequestClass, number> = {
  [RequestClass.interactive]: 0,
  [RequestClass.standard]: 1,
  [RequestClass.batch]: 2,
};

/** Chooses the class of a request: its caller may ask for batch, but for nothing more urgent. */
export function chooseClass(own: RequestClass, asked: string | string[] | undefined): RequestClass {
  return asked === RequestClass.batch ? RequestClass.batch : own;
}

/** Admits a request within its organisation's rate, or rejects with the refusal. */
export async function admitRequest(
  context: EntryContext,
  caller: Caller,
  admittance: AdmissionParameters,
): Promise<Admission> {
  const { rateLimiter, metrics, refusalCounter } = context;
  const { name } = caller.organisation;
  const { tokens, deadlineAtMs } = admittance;
  const result = await rateLimiter.admit({ organisation: name, tokens, deadlineAtMs });
  if (result.admitted) {
    if (isKeyValid(context, caller)) return result.admission;
    result.admission.settle(0);
    throw createKeyWithdrawnFailure(ExecutionOutcome.notRun);
  }
  if (result.reason === RateRefusal.exceedsBurst)
    throw createRefusal(
      400,
      'exceeds_burst',
      `the request may cost ${tokens} tokens, more than the organisation's burst; lower max_tokens`,
    );
  metrics.increment('refused', 1, { organisation: name, reason: result.reason });
  refusalCounter.record(name);
  const retryAfterSeconds = Math.max(1, Math.ceil(result.retryAfterMs / MILLISECONDS_PER_SECOND));
  throw createRefusal(429, 'rate_exceeded', 'the organisation is over its rate', retryAfterSeconds);
}
