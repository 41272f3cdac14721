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
const PAUSE_MS = 50;

/** How a request is tried. */
export interface RunAttemptsOptions<Result> {
  dispatch: Omit<DispatchRequest, 'excluded'>;
  /** Left out on open routes. */
  caller?: Caller;
  /** Whether it may be sent again after it may have run. */
  idempotent: boolean;
  record: RequestRecord;
  attempt: (place: DispatchPermit) => Promise<Result>;
  /** Tells whether the caller has already got a part of the answer. */
  hasResponseStarted?: () => boolean;
}

const REFUSAL_MESSAGES: Record<DispatchRefusal, string> = {
  noBackendServer: 'no backend server can take the request',
  queueFull: 'too many requests wait on this host',
  deadline: 'the request could not start before its deadline',
  cancelled: 'the caller has left',
};

async function takePlace(
  context: EntryContext,
  request: DispatchRequest,
  outcomeSoFar: ExecutionOutcome,
): Promise<DispatchPermit> {
  const result = await context.dispatcher.dispatch(request);
  if ('permit' in result) return result.permit;
  const message = REFUSAL_MESSAGES[result.refusal];
  if (outcomeSoFar !== ExecutionOutcome.notRun) throw createBackendFailure(outcomeSoFar, message);
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
  // A server that can't be reached is no overload; everything else takes from the budget.
  const isUnreachable = outcome === ExecutionOutcome.notRun && !isRefusal;
  return isUnreachable || retryBudget.takeRetry();
}

/** Runs a request on one backend server after another until one answers or it must not be sent again. */
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
    const place = await takePlace(
      context,
      { ...dispatch, ...(excluded.size > 0 ? { excluded } : {}) },
      outcome,
    );
    const server = place.candidate.id;
    record.backendServer = server;
    record.attempts = attempt;
    try {
      if (caller !== undefined && !isKeyValid(context, caller))
        throw createKeyWithdrawnFailure(outcome);
      return await options.attempt(place);
    } catch (error) {
      if (!(error instanceof BackendServerError)) throw error;
      if (error.isLeaving) backendDirectory.markDraining(server);
      if (error.outcome !== ExecutionOutcome.notRun) outcome = ExecutionOutcome.unknown;
      log.warn({ server, outcome: error.outcome, error: error.message }, 'attempt failed');
      metrics.increment('attempt_failed', 1, { server });
      const isOver =
        clock.monotonicMs() >= dispatch.deadlineAtMs || dispatch.signal?.aborted === true;
      if (isOver || attempt >= MAX_ATTEMPTS || !mayRetry(context, options, error))
        throw createBackendFailure(outcome, error.message);
      excluded.add(server);
    } finally {
      place.release();
    }
    // With every server tried once, they are all tried again after a pause.
    if (!dispatcher.hasCandidate(dispatch.target, excluded)) {
      await wait(PAUSE_MS);
      excluded.clear();
    }
  }
}
