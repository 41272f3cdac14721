import type { CallerRequest } from '../../../adapters/callerHttp/index.js';
import { createRequestError, ExecutionOutcome, type RequestError } from '../../../errors/index.js';

type Failure = InstanceType<typeof RequestError>;

/** Creates the refusal of a request that was not run. */
export function createRefusal(
  status: number,
  code: string,
  message: string,
  retryAfterSeconds?: number,
): Failure {
  return createRequestError(message, {
    status,
    code,
    outcome: ExecutionOutcome.notRun,
    retryAfterSeconds,
  });
}

/** Creates the failure of a request that got no complete response from a backend server. */
export function createBackendFailure(outcome: ExecutionOutcome, message: string): Failure {
  const isNotRun = outcome === ExecutionOutcome.notRun;
  return createRequestError(message, {
    status: isNotRun ? 503 : 502,
    code: isNotRun ? 'no_backend_server' : 'backend_server_failed',
    outcome,
    ...(isNotRun ? { retryAfterSeconds: 1 } : {}),
  });
}

/** Creates the function that reserves memory for an answer; it throws if there is none, as the request may have run. */
export function createAnswerReservation({
  guarded,
}: Pick<CallerRequest, 'guarded'>): (bytes: number) => Promise<void> {
  return async (bytes) => {
    if (await guarded.reserveAnswer(bytes)) return;
    throw createBackendFailure(ExecutionOutcome.unknown, 'there was no memory for the answer');
  };
}

/** Creates the failure of a request whose key was withdrawn. */
export function createKeyWithdrawnFailure(outcome: ExecutionOutcome): Failure {
  return createRequestError('the key was withdrawn', {
    status: 401,
    code: 'key_withdrawn',
    outcome,
  });
}
