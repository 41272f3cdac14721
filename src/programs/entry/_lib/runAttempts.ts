import { setTimeout as wait } from 'node:timers/promises';
import { BackendServerError } from '../../../adapters/backendServer/index.js';
import {
  DispatchRefusal,
  type DispatchRequest,
  type DispatchPermit,
} from '../../../coordination/createDispatcher/index.js';
import { ExecutionOutcome } from '../../../errors/index.js';
import type { Caller, EntryContext, RequestRecord } from '../types.js';
import { isKeyValid } from './authenticate.js';
import { createBackendFailure, createRefusal, createKeyWithdrawnFailure } from './refusals.js';

const MAX_ATTEMPTS = 8;
/** Backoff once every candidate has failed, before all of them may be used again. */
const RETRY_BACKOFF_MS = 50;

/** Options of running a request with retries. */
export interface RunAttemptsOptions<Result> {
  dispatch: Omit<DispatchRequest, 'excluded'>;
  /** Omitted on open routes, which need no key. */
  caller?: Caller;
  /** Whether the request may be retried when an earlier attempt may have run. */
  idempotent: boolean;
  /** Receives the backend server and the number of the last attempt. */
  record: RequestRecord;
  /** Runs one attempt on the backend server of the permit. */
  attempt: (permit: DispatchPermit) => Promise<Result>;
  /** Returns whether a part of the response has already been sent to the caller. */
  hasResponseStarted?: () => boolean;
}

const REFUSAL_MESSAGES: Record<DispatchRefusal, string> = {
  noBackendServer: 'no backend server can take the request',
  queueFull: 'too many requests wait on this host',
  deadline: 'the request could not start before its deadline',
  cancelled: 'the caller has left',
};

async function waitForPermit(
  context: EntryContext,
  request: DispatchRequest,
  previousOutcome: ExecutionOutcome,
): Promise<DispatchPermit> {
  const result = await context.dispatcher.dispatch(request);
  if ('permit' in result) return result.permit;
  const message = REFUSAL_MESSAGES[result.refusal];
  if (previousOutcome !== ExecutionOutcome.notRun)
    throw createBackendFailure(previousOutcome, message);
  throw createRefusal(503, result.refusal, message, 1);
}

function mayRetry<Result>(
  { retryBudget }: EntryContext,
  options: RunAttemptsOptions<Result>,
  error: BackendServerError,
): boolean {
  if (options.hasResponseStarted?.() === true) return false;
  const { outcome, isRefusal } = error;
  if (outcome !== ExecutionOutcome.notRun && !options.idempotent) return false;
  // An unreachable server is no sign of overload, so its retry is not taken from the budget.
  const isUnreachable = outcome === ExecutionOutcome.notRun && !isRefusal;
  return isUnreachable || retryBudget.takeRetry();
}

/** Runs a request on one backend server after another until one responds or no retry is allowed. */
export async function runAttempts<Result>(
  context: EntryContext,
  options: RunAttemptsOptions<Result>,
): Promise<Result> {
  const { clock, backendDirectory, dispatcher, log, metrics, retryBudget } = context;
  const { dispatch, caller, record } = options;
  const excluded = new Set<string>();
  let outcome: ExecutionOutcome = ExecutionOutcome.notRun;
  retryBudget.recordRequest();
  for (let attempt = 1; ; attempt += 1) {
    const permit = await waitForPermit(
      context,
      { ...dispatch, ...(excluded.size > 0 ? { excluded } : {}) },
      outcome,
    );
    const server = permit.candidate.id;
    record.backendServer = server;
    record.attempts = attempt;
    try {
      if (caller !== undefined && !isKeyValid(context, caller))
        throw createKeyWithdrawnFailure(outcome);
      return await options.attempt(permit);
    } catch (error) {
      if (!(error instanceof BackendServerError)) throw error;
      if (error.isLeaving) backendDirectory.markDraining(server);
      if (error.outcome !== ExecutionOutcome.notRun) outcome = ExecutionOutcome.unknown;
      log.warn({ server, outcome: error.outcome, error: error.message }, 'attempt failed');
      metrics.increment('attempt_failed', 1, { server });
      const hasEnded =
        clock.monotonicMs() >= dispatch.deadlineAtMs || dispatch.signal?.aborted === true;
      if (hasEnded || attempt >= MAX_ATTEMPTS || !mayRetry(context, options, error))
        throw createBackendFailure(outcome, error.message);
      excluded.add(server);
    } finally {
      permit.release();
    }
    // Once every candidate has failed, all of them may be used again after the backoff.
    if (!dispatcher.hasCandidate(dispatch.target, excluded)) {
      await wait(RETRY_BACKOFF_MS);
      excluded.clear();
    }
  }
}
