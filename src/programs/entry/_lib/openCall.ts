import type { CallerRequest } from '../../../adapters/callerHttp/index.js';
import { Outcome, RequestError } from '../../../errors/index.js';
import type { EntryContext } from '../types.js';
import { createWithdrawnFailure } from './refusals.js';

/** A request between its admission and its end. */
export interface OpenCall {
  /** Aborts when the call has to end early. */
  signal: AbortSignal;
  /** Turns what an early end threw into its failure. */
  toFailure: (error: unknown) => unknown;
  close: () => void;
}

/** Options of a call. */
export interface OpenCallOptions {
  /** Whether the backend server's work is of no use without its caller. */
  endsWithCaller?: boolean;
}

/** Opens a call that ends early when its key is withdrawn, and if told so when its caller leaves. */
export function openCall(
  { active }: EntryContext,
  request: CallerRequest,
  keyDigest: string | undefined,
  options: OpenCallOptions = {},
): OpenCall {
  const { endsWithCaller = false } = options;
  const withdrawn = new AbortController();
  const remove = active.add({
    keyDigest,
    endForWithdrawnKey: () => {
      if (endsWithCaller) withdrawn.abort(createWithdrawnFailure(Outcome.unknown));
    },
  });
  const signals = endsWithCaller ? [withdrawn.signal, request.signal] : [withdrawn.signal];
  return {
    signal: AbortSignal.any(signals),
    toFailure: (error) => {
      if (!withdrawn.signal.aborted) return error;
      const isNotRun = error instanceof RequestError && error.failure.outcome === Outcome.notRun;
      return isNotRun
        ? createWithdrawnFailure(Outcome.notRun)
        : (withdrawn.signal.reason as unknown);
    },
    close: remove,
  };
}
