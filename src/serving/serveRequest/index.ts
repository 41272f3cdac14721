import { isAborted } from '../../common/isAborted.js';
import { waitForPoll } from '../../common/waitForPoll.js';
import { mayRetry } from '../../decisions/serving/mayRetry/index.js';
import {
  AttemptFailure,
  RetryPolicy,
  type BackendServer,
  type CallerResponse,
  type ServingRequest,
} from '../../ports/serving.js';
import { AttemptOutcome, runAttempt } from '../runAttempt/index.js';
import type { ServingContext } from '../types.js';
import { admitToServer, ServerAdmission } from './_lib/admitToServer.js';
import { mayHaveRun, toServerOutcome } from './_lib/attemptResults.js';
import { recordUnbegunStream, refuseOverLevel } from './_lib/followAdmissionLevel.js';
import { chooseServer, isHeldAtOtherVersion, type ServerSelection } from './_lib/chooseServer.js';
import {
  isReplaced,
  recordStreamEvents,
  recordStreamPart,
  refuseUnknownVersion,
} from './_lib/followSoftwareVersion.js';
import {
  computeRemainingMs,
  describeRequest,
  failRequest,
  listSharedPartIds,
  MIN_RETRY_AFTER_MS,
  recordCompletion,
  refuseRequest,
  type RequestState,
} from './_lib/requestState.js';
import { MAX_SENDS, tryReserveRetry } from './_lib/tryReserveRetry.js';
import { waitInQueue } from './_lib/waitInQueue.js';
import { recordPace, startTracking } from './_lib/startTracking.js';

const MAX_CHOICE_MS = 10; // without a wait, a choice takes far less; a wait may end before the input is read
const DEFAULT_RETRY_AFTER_MS = 1000; // servers register and deregister within seconds
/** Nothing changes for the prompt until operators have acted, so that a sooner return is in vain. */
const QUARANTINE_RETRY_AFTER_MS = 600_000;
const TRIAL_RETRY_AFTER_MS = 1000; // the first events of the trial, and two rounds until all hosts know of them
const OUTPUT_TOKEN_WORK = 8; // an output token costs about as much as this many prompt tokens

/** Records what a failed attempt tells of its server, and excludes it from further attempts. */
function recordFailure(state: RequestState, server: BackendServer, failure: AttemptFailure): void {
  const { context, request, excludedServers } = state;
  const { model, adapter } = request;
  if (failure !== AttemptFailure.misdirected) {
    excludedServers.add(server.id);
    return;
  }
  if (model === undefined) excludedServers.add(server.id);
  else if (adapter !== undefined && !state.missing.has(server.id)) {
    state.missing.add(server.id);
    context.serverRegistry.recordAdapterState(server.id, model, adapter, false);
  } else {
    context.serverRegistry.recordMissingModel(server.id, model);
    excludedServers.add(server.id);
  }
}

/** Lists the model and the adapter that a request uses, as `MODEL` and `MODEL/ADAPTER`. */
function listUsedNames({ model, adapter }: ServingRequest): string[] {
  if (model === undefined) return [];
  return adapter === undefined ? [model] : [model, `${model}/${adapter}`];
}

/** Runs one attempt on a server; returns whether the request is to be retried. */
async function runOnServer(state: RequestState, selection: ServerSelection): Promise<boolean> {
  const { context, request, response } = state;
  const { server } = selection;
  const { retryPolicy, maximumAttempts } = request.route;
  const trackedRequest = startTracking(state, selection);
  const usedNames = listUsedNames(request);
  for (const name of usedNames) context.recordModelUse(server.id, name, 1);
  state.sends += 1;
  state.reservations = 0;
  state.lastServer = server.id;
  state.hasReservedRetry = false;
  const sharedPartIds = listSharedPartIds(request);
  const sentAtMs = context.clock.monotonicMs();
  const result = await runAttempt({
    context,
    request,
    response,
    server,
    trackedRequest,
    lastEventId: state.lastEventId,
    isResent: state.missing.has(server.id),
    tryFailOver: () => tryReserveRetry(state, server),
    onEvents: () => recordStreamEvents(state, server),
    onSustainedOutput: () => context.quarantine.recordServed(sharedPartIds),
    isServerSilent: () => context.serverRegistry.isServerSilent(server.id),
  });
  trackedRequest.release(toServerOutcome(result));
  state.mayHaveRun ||= mayHaveRun(result);
  if (result.outcome === AttemptOutcome.served) context.quarantine.recordServed(sharedPartIds);
  state.isComplete = result.outcome === AttemptOutcome.served;
  if (result.isDisconnected || result.failure === AttemptFailure.unreachable)
    context.serverNotices.recordDisconnection(server.incarnation);
  recordPace(state, server, sentAtMs, result);
  recordUnbegunStream(state, result);
  if (result.isCrashSuspected)
    context.quarantine.recordCrash(server.incarnation, sharedPartIds, sentAtMs);
  for (const name of usedNames) context.recordModelUse(server.id, name, -1);
  context.metrics.countAttempt(request.service, result.failure ?? result.outcome);
  recordStreamPart(state, server, result.lastEventId);
  state.lastReason = result.reason;
  state.lastFraming = result.framing;
  if (result.outcome === AttemptOutcome.served || result.outcome === AttemptOutcome.relayed) {
    recordCompletion(
      state,
      result.status,
      result.outcome === AttemptOutcome.served ? 'served' : result.reason,
      {
        firstBytesMs: result.firstBytesMs,
        longestPauseMs: result.longestPauseMs,
        endReason: result.endReason,
      },
    );
    return false;
  }
  if (result.outcome === AttemptOutcome.callerLeft) {
    recordCompletion(state, 0, 'caller left');
    return false;
  }
  const failure = result.failure ?? AttemptFailure.broken;
  if (failure === AttemptFailure.broken) state.attemptsRun += 1;
  recordFailure(state, server, failure);
  if (result.outcome === AttemptOutcome.timedOut) {
    failRequest(state, 504, 'no answer in time', { cause: result.reason });
    return false;
  }
  const canRetry =
    state.sends < MAX_SENDS &&
    mayRetry({
      failure,
      retryPolicy:
        response.isHeadSent() && retryPolicy !== RetryPolicy.resumable
          ? RetryPolicy.once
          : retryPolicy,
      attemptsRun: state.attemptsRun,
      maximumAttempts,
      remainingMs: computeRemainingMs(state),
    }) &&
    // An attempt without a connection puts no load on a server, so it needs no retry budget.
    (failure === AttemptFailure.unreachable ||
      state.hasReservedRetry ||
      context.retryBudget.tryTakeRetry(request.service));
  if (canRetry) {
    if (response.isHeadSent()) {
      const { lastEventId, framing, reason } = result;
      context.log.info(
        { requestId: request.id, server: server.id, lastEventId, framing, cause: reason },
        'stream goes on at another server',
      );
    }
    return true;
  }
  if (failure === AttemptFailure.broken)
    failRequest(state, 502, 'attempt failed, outcome unknown', { cause: result.reason });
  else refuseRequest(state, 'servers refused the request', MIN_RETRY_AFTER_MS);
  return false;
}

/** Tells what there is no server for. */
function describeLack({ request, boundVersion }: RequestState): string {
  if (boundVersion !== undefined) return 'no server of the software version that began the stream';
  return request.model === undefined ? 'no server' : 'no engine for the model or adapter';
}

/** Estimates the milliseconds until a request for which no server is available finds one. */
function estimateRetryAfterMs(state: RequestState): number {
  const { context, request } = state;
  if (isHeldAtOtherVersion(state)) return MIN_RETRY_AFTER_MS; // the stream may begin anew at once
  const { service, model } = request;
  const expectedMs =
    model === undefined || context.serverRegistry.listCandidates({ service, model }).length > 0
      ? undefined
      : context.placement.estimateModelMs(service, model);
  return expectedMs ?? DEFAULT_RETRY_AFTER_MS;
}

/**
 * Refuses a request whose prompt crashes servers, unless it is granted as the trial that shows
 * whether it still does; returns whether it was refused.
 */
async function refuseQuarantined(state: RequestState): Promise<boolean> {
  const { context, request } = state;
  const { quarantine } = context;
  const parts = listSharedPartIds(request);
  const groups = quarantine.listQuarantined(parts);
  if (groups.length === 0) return false;
  const isServerAvailable = context.serverRegistry.listCandidates(request).length > 0;
  if (isServerAvailable && (await quarantine.requestTrial(parts))) return false;
  const isConfirmed = groups.some(({ confirmations }) => confirmations > 0);
  const retryAfterMs = isConfirmed ? QUARANTINE_RETRY_AFTER_MS : TRIAL_RETRY_AFTER_MS;
  refuseRequest(state, 'servers crash on a part of the prompt', retryAfterMs, {
    quarantinedParts: groups.map(({ parts: ids }) => ids.join('+')).join(),
    crashes: Math.max(...groups.map(({ crashes }) => crashes)),
    isConfirmed,
  });
  return true;
}

/** Runs attempts until the request is served or has failed. */
async function serveUntilDone(state: RequestState): Promise<void> {
  const { response } = state;
  for (;;) {
    if (await refuseQuarantined(state)) return;
    // The caller may have left while this process was behind. Not after the choice: requests that arrive
    // together would all choose before the first of them counts.
    await waitForPoll();
    const chosenFromMs = state.context.clock.monotonicMs();
    await state.context.refreshServers(response.signal);
    const selection = await chooseServer(state);
    if (response.signal.aborted) {
      recordCompletion(state, 0, 'caller left');
      return;
    }
    if (computeRemainingMs(state) <= 0) {
      refuseRequest(state, 'no server in time', MIN_RETRY_AFTER_MS);
      return;
    }
    if (selection === undefined) {
      refuseRequest(state, describeLack(state), estimateRetryAfterMs(state));
      return;
    }
    const place = await waitInQueue(state, selection);
    if (place === ServerAdmission.refused) return;
    if (place === ServerAdmission.chooseAgain) continue;
    const admission = await admitToServer(state, selection);
    if (admission === ServerAdmission.refused) return;
    if (admission === ServerAdmission.chooseAgain || isAborted(response.signal)) continue;
    // The data centre may have been evacuated, and this process paused, while the request waited.
    await state.context.refreshServers(response.signal);
    if (state.context.clock.monotonicMs() - chosenFromMs > MAX_CHOICE_MS) await waitForPoll();
    if (state.context.evacuations.isEvacuated(selection.server.dataCentre)) continue;
    if (isReplaced(state, selection)) continue;
    if (isAborted(response.signal)) continue;
    if (!(await runOnServer(state, selection))) return;
  }
}

/** Serves one request, from its admission to the end of its response. */
export async function serveRequest(
  context: ServingContext,
  request: ServingRequest,
  response: CallerResponse,
): Promise<void> {
  const state: RequestState = {
    context,
    request,
    response,
    routed: describeRequest(request),
    excludedServers: new Set(),
    missing: new Set(),
    streamParts: [],
    sends: 0,
    reservations: 0,
    attemptsRun: 0,
    mayHaveRun: false,
    hasReservedRetry: false,
    lastReason: '',
  };
  const { organisation, chargedTokens, model, service } = request;
  if (organisation !== undefined) {
    const charge = context.rateLimiter.charge(organisation, chargedTokens);
    if (!charge.isAdmitted) {
      const { retryAfterMs, level, rate, fleetAgeMs } = charge;
      failRequest(state, 429, 'organisation is over its rate', {
        retryAfterMs,
        tokens: chargedTokens,
        bucketLevel: Math.round(level),
        rate,
        fleetAgeMs: Math.round(fleetAgeMs),
      });
      return;
    }
  }
  context.retryBudget.recordRequest(service);
  if (model !== undefined) {
    const work = state.routed.unsharedTokens + OUTPUT_TOKEN_WORK * request.maximumOutputTokens;
    context.placement.recordDemand(service, model, work);
  }
  if (!refuseOverLevel(state) && !(await refuseUnknownVersion(state))) await serveUntilDone(state);
  if (state.boundVersion !== undefined)
    context.streamVersions.recordEnded(request, state.isComplete === true);
  if (!state.mayHaveRun && organisation !== undefined)
    context.rateLimiter.refund(organisation.name, chargedTokens);
}
