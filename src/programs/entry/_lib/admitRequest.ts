import { RateRefusal, type Admission } from '../../../coordination/createRateLimiter/index.js';
import { RequestClass } from '../../../decisions/bundle/types.js';
import { MILLISECONDS_PER_SECOND } from '../../../decisions/rate/constants/index.js';
import type { AdmissionParameters, Caller, EntryContext } from '../types.js';
import { isKeyValid } from './authenticate.js';
import { createRefusal, createKeyWithdrawnFailure } from './refusals.js';
import { ExecutionOutcome } from '../../../errors/index.js';

/** Milliseconds that a request may wait for tokens and a backend server when the bundle sets no deadline. */
export const DEFAULT_DEADLINE_MS: Record<RequestClass, number> = {
  [RequestClass.interactive]: 1000,
  [RequestClass.standard]: 5000,
  [RequestClass.batch]: 60_000,
};

/** Scheduling priority sent to engines; lower values run first. */
export const ENGINE_PRIORITIES: Record<RequestClass, number> = {
  [RequestClass.interactive]: 0,
  [RequestClass.standard]: 1,
  [RequestClass.batch]: 2,
};

/** Chooses the class of a request: a caller may lower the configured class to batch, but not raise it. */
export function chooseClass(
  configured: RequestClass,
  requested: string | string[] | undefined,
): RequestClass {
  return requested === RequestClass.batch ? RequestClass.batch : configured;
}

/** Admits a request against the rate limit of its organisation, or throws the refusal. */
export async function admitRequest(
  context: EntryContext,
  caller: Caller,
  parameters: AdmissionParameters,
): Promise<Admission> {
  const { rateLimiter, metrics, refusalCounter } = context;
  const { name } = caller.organisation;
  const { tokens, deadlineAtMs } = parameters;
  const result = await rateLimiter.admit({ organisation: name, tokens, deadlineAtMs });
  if (result.admitted) {
    // The key may have been withdrawn while the request waited for tokens.
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
