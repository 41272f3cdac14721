import { computeLatestStart } from '../../../decisions/hostQueue/computeLatestStart/index.js';
import { estimateQueueWait } from '../../../decisions/hostQueue/estimateQueueWait/index.js';
import { QueueEnd } from '../../createHostQueue/index.js';
import { ServerAdmission } from './admitToServer.js';
import type { ServerSelection } from './chooseServer.js';
import { isAnyServerWithinLimit } from './rankWithinLimits.js';
import { refuseRequest, type RequestState } from './requestState.js';

/** Estimates the milliseconds until a server is below its limit for a request. */
function estimateWait({ context, request, boundVersion }: RequestState, ahead: number): number {
  const { service, model } = request;
  const candidates = context.serverRegistry.listCandidates({ service, model, boundVersion });
  return estimateQueueWait({
    servers: candidates.map(({ id, active, serviceTimeMs }) => ({
      active,
      serviceTimeMs,
      limit: context.concurrency.getLimit(id)?.requests ?? Infinity,
    })),
    ahead,
    hostCount: context.serverRegistry.getHostCount(),
  });
}

/**
 * Lets a request wait at this host while no server is below its limit, and refuses one that would not
 * begin in time after that. One that was sent before does not wait again.
 */
export async function waitInQueue(
  state: RequestState,
  selection: ServerSelection,
): Promise<ServerAdmission> {
  const { context, request, routed, response } = state;
  const { clock, hostQueue, load, metrics } = context;
  const isExempt = routed.hasPauseTarget !== true || state.sends > 0;
  if (!hostQueue.isEnabled || isExempt) return ServerAdmission.send;
  const queued = {
    key: `${request.service}/${request.model ?? ''}`,
    priority: request.priority,
    dueAtMs: Math.min(
      computeLatestStart({
        ...request,
        latencyTargetMs: request.route.latencyTargetMs,
        targets: load.hostQueueTargets,
        delayMs: selection.delayMs,
      }),
      context.getLastSendAtMs(),
    ),
  };
  const ahead = hostQueue.countAhead(queued);
  if (selection.isWithinLimit && (ahead === 0 || state.isReleased === true))
    return ServerAdmission.send;
  const startedAtMs = clock.monotonicMs();
  const waitMs = estimateWait(state, ahead);
  const logFields = {
    queueWaitMs: Math.round(waitMs),
    usefulWaitMs: Math.round(queued.dueAtMs - startedAtMs),
    ahead,
  };
  if (startedAtMs + waitMs > queued.dueAtMs) {
    if (selection.mayExceedLimit) return ServerAdmission.send;
    refuseRequest(state, 'no server is below its limit in time', waitMs, logFields);
    return ServerAdmission.refused;
  }
  const isReady = (): boolean => isAnyServerWithinLimit(state);
  const end = await hostQueue.wait(queued, isReady, response.signal);
  const queuedMs = clock.monotonicMs() - startedAtMs;
  metrics.recordQueueTime(request.route.name, queuedMs);
  state.queuedMs = (state.queuedMs ?? 0) + queuedMs;
  state.isReleased = end === QueueEnd.released;
  // One that is overdue is refused at its next choice, unless a server is free by then.
  if (end === QueueEnd.displaced) {
    refuseRequest(state, 'the queue of this host is full', waitMs, logFields);
    return ServerAdmission.refused;
  }
  return ServerAdmission.chooseAgain;
}
