import { isCapacityFree } from '../../../decisions/admission/isCapacityFree/index.js';
import { toAdmissionClass } from '../../../decisions/admission/toAdmissionClass/index.js';
import type { ServingRequest } from '../../../ports/serving.js';
import type { DemandedRequest } from '../../createAdmissionControl/index.js';
import { AttemptOutcome, type AttemptResult } from '../../runAttempt/index.js';
import { computeRemainingMs, refuseRequest, type RequestState } from './requestState.js';

/** Describes a request for its admission level; undefined where its route declares no longest pause. */
function describeDemand(request: ServingRequest): DemandedRequest | undefined {
  const { service, route, organisation, model, promptTokens, maximumOutputTokens } = request;
  if (route.pauseTargetMs === undefined || model === undefined) return undefined;
  return {
    service,
    ...toAdmissionClass(route),
    organisation: organisation?.name ?? '',
    tokens: promptTokens + maximumOutputTokens,
  };
}

/**
 * Records a request that has arrived, and refuses it if the admission level of its service does and no
 * engine is free for it; returns whether it was refused.
 */
export function refuseOverLevel(state: RequestState): boolean {
  const { context, request, routed } = state;
  const demand = describeDemand(request);
  if (demand === undefined) return false;
  context.admission.recordRequest(demand);
  const refusal = context.admission.decide(demand, computeRemainingMs(state));
  if (refusal === undefined) return false;
  const { service, model, adapter } = request;
  const { sharedParts } = routed;
  const candidates = context.serverRegistry.listCandidates({
    service,
    model,
    adapter,
    sharedParts,
  });
  // A model that no engine holds waits for its load or is refused by that.
  if (candidates.length === 0 || isCapacityFree(candidates)) return false;
  const { retryAfterMs, ...logFields } = refusal;
  context.metrics.countLevelRefusal(service, refusal.refusedBy, refusal.requestClass);
  refuseRequest(state, 'service is over its admission level', retryAfterMs, {
    ...logFields,
    isRetryExact: true,
  });
  return true;
}

/** Records a stream whose caller left, or whose deadline passed, before it began. */
export function recordUnbegunStream(
  { context, request }: RequestState,
  { outcome, firstBytesMs }: AttemptResult,
): void {
  if (request.route.pauseTargetMs === undefined || firstBytesMs !== undefined) return;
  if (outcome !== AttemptOutcome.callerLeft && outcome !== AttemptOutcome.timedOut) return;
  context.admission.recordStream(request.service, true);
}
