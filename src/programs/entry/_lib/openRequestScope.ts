import type { CallerRequest } from '../../../adapters/callerHttp/index.js';
import { ExecutionOutcome, RequestError } from '../../../errors/index.js';
import type { EntryContext } from '../types.js';
import { createKeyWithdrawnFailure } from './refusals.js';

/** Abort signal and clean-up of one active request. */
export interface RequestScope {
  /** Aborts when the request has to end early; omitted for requests that run to their end. */
  signal?: AbortSignal;
  /** Converts an error of the request to the failure sent to its caller, if the key was withdrawn. */
  toFailure: (error: unknown) => unknown;
  /** Removes the request from the active requests. */
  close: () => void;
}

/** Options of a request scope. */
export interface RequestScopeOptions {
  /**
   * Whether the request is aborted when its caller disconnects or its key is withdrawn; to be set if the work
   * of the backend server is of no use without its caller.
   */
  isAbortable?: boolean;
}

/**
 * Registers an active request. With `isAbortable` it is aborted when its caller disconnects or its key
 * is withdrawn; without, it runs to its end.
 */
export function openRequestScope(
  { activeRequests }: EntryContext,
  request: CallerRequest,
  keyDigest: string | undefined,
  options: RequestScopeOptions = {},
): RequestScope {
  const { isAbortable = false } = options;
  const { response } = request;
  const controller = isAbortable ? new AbortController() : undefined;
  const abortOnDisconnect = (): void => {
    if (!response.writableFinished) controller?.abort(new Error('caller disconnected'));
  };
  if (controller !== undefined) response.once('close', abortOnDisconnect);
  let isKeyWithdrawn = false;
  const removeRequest = activeRequests.add({
    keyDigest,
    endForWithdrawnKey: () => {
      if (controller === undefined) return;
      isKeyWithdrawn = true;
      controller.abort(createKeyWithdrawnFailure(ExecutionOutcome.unknown));
    },
  });
  return {
    signal: controller?.signal,
    toFailure: (error) => {
      if (!isKeyWithdrawn) return error;
      const isNotRun =
        error instanceof RequestError && error.failure.outcome === ExecutionOutcome.notRun;
      return createKeyWithdrawnFailure(
        isNotRun ? ExecutionOutcome.notRun : ExecutionOutcome.unknown,
      );
    },
    close: () => {
      response.off('close', abortOnDisconnect);
      removeRequest();
    },
  };
}
