import type { BackendServer } from '../../../ports/serving.js';
import { AttemptOutcome, type AttemptResult } from '../../runAttempt/index.js';
import type { TrackedStream } from '../../types.js';
import type { ServerSelection } from './chooseServer.js';
import type { RequestState } from './requestState.js';

const SHARED_PROMPT_WEIGHT = 0.3; // shared prompt parts occupy memory once for all requests

/** Counts a request towards the load of its selected server, and the memory that it holds there. */
export function startTracking(state: RequestState, selection: ServerSelection): TrackedStream {
  const { context, request, routed } = state;
  const { server } = selection;
  const tracked = context.serverRegistry.trackRequest(server.id, {
    backlogTokens: selection.uncachedTokens,
    reservedTokens: routed.unsharedTokens + SHARED_PROMPT_WEIGHT * routed.sharedTokens,
    isUrgent: routed.isUrgent,
    sharedParts: routed.sharedParts,
    delayMs: selection.delayMs,
  });
  const held = context.concurrency.holdMemory(server.id, {
    service: request.service,
    ownTokens: routed.unsharedTokens - request.maximumOutputTokens,
    sharedParts: routed.sharedParts,
  });
  // The next request in the queue may run beside this one.
  context.hostQueue.wake();
  return {
    ...tracked,
    recordEvents: held.addEvents,
    release: (outcome) => {
      tracked.release(outcome);
      held.release();
      context.hostQueue.wake();
    },
  };
}

/** Records whether a stream kept to its first event's target and to the longest pause that its caller accepts. */
export function recordPace(
  { context, request }: RequestState,
  { id }: BackendServer,
  sentAtMs: number,
  { outcome, firstBytesMs, longestPauseMs }: AttemptResult,
): void {
  const { pauseTargetMs, latencyTargetMs } = request.route;
  if (pauseTargetMs === undefined) return;
  if (longestPauseMs === undefined) {
    if (outcome === AttemptOutcome.timedOut) context.concurrency.recordStream(id, true);
    return;
  }
  const isSlow = longestPauseMs > pauseTargetMs;
  const hostMs = sentAtMs - request.arrivedAtMs; // waits at this host say nothing of the server
  const isBegunLate = (firstBytesMs ?? 0) - hostMs > latencyTargetMs;
  context.serverPaces.recordStream(id, isSlow);
  context.concurrency.recordStream(id, isSlow || isBegunLate);
}
