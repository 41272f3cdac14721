import type { CallerRequest } from '../../../adapters/callerHttp/index.js';
import { ExecutionOutcome, RequestError } from '../../../errors/index.js';
import type { EntryContext } from '../types.js';
import { createKeyWithdrawnFailure } from './refusals.js';

/** A request between its admission and its end. */
export interface RequestScope {
  /** Aborts when the call has to end early; left out for calls that run to their end. */
  signal?: AbortSignal;
  /** Turns what an early end threw into its failure. */
  toFailure: (error: unknown) => unknown;
  close: () => void;
}

/** Options of a call. */
export interface RequestScopeOptions {
  /** Whether the backend server's work is of no use without its caller. */
  cancelsOnDisconnect?: boolean;
}

/** Opens a call that ends early when its key is withdrawn, and if told so when its caller leaves. */
export function openRequestScope(
  { activeRequests }: EntryContext,
  request: CallerRequest,
  keyDigest: string | undefined,
  options: RequestScopeOptions = {},
): RequestScope {
  const { cancelsOnDisconnect = false } = options;
  const { response } = request;
  const ended = cancelsOnDisconnect ? new AbortController() : undefined;
  const endWhenLeft = (): void => {
    if (!response.writableFinished) ended?.abort(new Error('the caller has left'));
  };
  if (ended !== undefined) response.once('close', endWhenLeft);
  let isWithdrawn = false;
  const remove = activeRequests.add({
    keyDigest,
    endForWithdrawnKey: () => {
      if (ended === undefined) return;
      isWithdrawn = true;
      ended.abort(createKeyWithdrawnFailure(ExecutionOutcome.unknown));
    },
  });
  return {
    signal: ended?.signal,
    toFailure: (error) => {
      if (!isWithdrawn) return error;
      const isNotRun =
        error instanceof RequestError && error.failure.outcome === ExecutionOutcome.notRun;
      return createKeyWithdrawnFailure(
        isNotRun ? ExecutionOutcome.notRun : ExecutionOutcome.unknown,
      );
    },
    close: () => {
      response.off('close', endWhenLeft);
      remove();
    },
  };
}
