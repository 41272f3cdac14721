import { setTimeout as wait } from 'node:timers/promises';
import { computeMaximumDelayMs } from '../../decisions/serving/computeMaximumDelayMs/index.js';
import { mayRetry } from '../../decisions/serving/mayRetry/index.js';
import { rankServers } from '../../decisions/serving/rankServers/index.js';
import type { RankedServer } from '../../decisions/serving/types.js';
import {
  AttemptFailure,
  RetryPolicy,
  type BackendServer,
  type CallerResponse,
  type ServingRequest,
} from '../../ports/serving.js';
import { ServerOutcome } from '../createServerRegistry/index.js';
import { AttemptOutcome, runAttempt, type AttemptResult } from '../runAttempt/index.js';
import type { ServingContext } from '../types.js';
import {
  computeRemainingMs,
  describeRequest,
  failRequest,
  MIN_RETRY_AFTER_MS,
  recordCompletion,
  refuseRequest,
  type RequestState,
} from './_lib/requestState.js';

const MOST_SENDS = 5; // refusals cost a round trip each; more of them don't find room either
const MODEL_WAIT_MS = 800; // a caller that is told when to come back waits better than here
const UNKNOWN_RETURN_MS = 1000; // servers come and go within seconds
const ADAPTER_CHOICES = 3; // engines that the placing host may choose from
const SHARED_WEIGHT = 0.3; // prompt starts are held once for all requests that share them
const OUTPUT_WORK = 8; // a token of the answer costs about as much as so many of the prompt

function rankCandidates(course: RequestState): RankedServer[] {
  const { context, request, routed, excludedServers } = course;
  const { service, model, adapter } = request;
  const { sharedParts } = routed;
  const candidates = context.serverRegistry.listCandidates({
    service,
    model,
    adapter,
    excluded: excludedServers,
    sharedParts,
  });
  return rankServers(candidates, routed, context.random);
}

/** Ranks the servers of a request; waits a little for a model that no engine holds yet. */
async function findServers(course: RequestState): Promise<RankedServer[]> {
  const { context, request } = course;
  const ranked = rankCandidates(course);
  if (ranked.length > 0 || request.model === undefined) return ranked;
  const expectedMs = context.placement.estimateModelMs(request.service, request.model);
  if (expectedMs === undefined || expectedMs > MODEL_WAIT_MS) return [];
  await context.placement.waitForModel(
    request.service,
    request.model,
    Math.min(2 * expectedMs, MODEL_WAIT_MS, computeRemainingMs(course)),
  );
  return rankCandidates(course);
}

/** A server with what the request would meet there. */
interface Choice {
  server: BackendServer;
  delayMs: number;
  unreadTokens: number;
}

function toChoice({ context }: RequestState, ranked: RankedServer | undefined): Choice | undefined {
  const server =
    ranked === undefined ? undefined : context.serverRegistry.findServer(ranked.candidate.id);
  if (ranked === undefined || server === undefined) return undefined;
  return { server, delayMs: ranked.delayMs, unreadTokens: ranked.uncachedTokens };
}

/** Chooses a server that holds what the request needs, and has an adapter loaded when none does. */
async function chooseServer(course: RequestState): Promise<Choice | undefined> {
  const { context, request } = course;
  const { model, adapter } = request;
  const ranked = await findServers(course);
  const best = ranked[0];
  if (best === undefined) return undefined;
  if (model === undefined || adapter === undefined || best.candidate.holdsAdapter)
    return toChoice(course, best);
  const servers = ranked.slice(0, ADAPTER_CHOICES).map(({ candidate }) => candidate.id);
  const grant = await context.placement.requestAdapter({
    model,
    adapter,
    servers,
    missing: [...course.missing],
  });
  if (grant !== undefined) {
    if (grant.readyInMs > 0) await wait(grant.readyInMs);
    context.serverRegistry.recordAdapterState(grant.server, model, adapter, true);
    return toChoice(
      course,
      ranked.find(({ candidate }) => candidate.id === grant.server),
    );
  }
  return toChoice(
    course,
    ranked.find(({ candidate }) => candidate.holdsAdapter),
  );
}

/** Notes what a failed attempt says of its server. */
function recordFailure(course: RequestState, server: BackendServer, failure: AttemptFailure): void {
  const { context, request, excludedServers } = course;
  const { model, adapter } = request;
  if (failure !== AttemptFailure.misdirected) {
    excludedServers.add(server.id);
    return;
  }
  if (model === undefined) excludedServers.add(server.id);
  else if (adapter !== undefined && !course.missing.has(server.id)) {
    course.missing.add(server.id);
    context.serverRegistry.recordAdapterState(server.id, model, adapter, false);
  } else {
    context.serverRegistry.recordMissingModel(server.id, model);
    excludedServers.add(server.id);
  }
}

function toPlaceOutcome({ end, failure, status }: AttemptResult): ServerOutcome {
  if (end === AttemptOutcome.served) return ServerOutcome.served;
  if (end === AttemptOutcome.serverError || end === AttemptOutcome.relayed)
    return ServerOutcome.failed;
  if (end === AttemptOutcome.timedOut && status === 0) return ServerOutcome.failed;
  if (end !== AttemptOutcome.failed) return ServerOutcome.neutral;
  if (failure === AttemptFailure.unreachable) return ServerOutcome.unreachable;
  return failure === AttemptFailure.broken ? ServerOutcome.failed : ServerOutcome.neutral;
}

/** Lists the model and the adapter that a request uses. */
function listUses({ model, adapter }: ServingRequest): string[] {
  if (model === undefined) return [];
  return adapter === undefined ? [model] : [model, `${model}/${adapter}`];
}

/** Sends the request to one server; returns whether it may go on with another one. */
async function tryServer(course: RequestState, choice: Choice): Promise<boolean> {
  const { context, request, reply, routed } = course;
  const { server } = choice;
  const { retryPolicy, maximumAttempts } = request.route;
  const trackedRequest = context.serverRegistry.trackRequest(server.id, {
    backlogTokens: choice.unreadTokens,
    reservedTokens: routed.ownTokens + SHARED_WEIGHT * routed.sharedTokens,
    isUrgent: routed.isUrgent,
    sharedParts: routed.sharedParts,
    delayMs: choice.delayMs,
  });
  const uses = listUses(request);
  for (const name of uses) context.recordModelUse(server.id, name, 1);
  course.sends += 1;
  course.lastServer = server.id;
  const result = await runAttempt({
    context,
    request,
    reply,
    server,
    trackedRequest,
    lastEventId: course.lastEventId,
    canFailOver: retryPolicy !== RetryPolicy.once && course.attemptsRun + 1 < maximumAttempts,
  });
  trackedRequest.release(toPlaceOutcome(result));
  for (const name of uses) context.recordModelUse(server.id, name, -1);
  context.metrics.countAttempt(request.service, result.failure ?? result.end);
  course.lastEventId = result.lastEventId ?? course.lastEventId;
  course.lastReason = result.reason;
  if (result.end === AttemptOutcome.served || result.end === AttemptOutcome.relayed) {
    recordCompletion(
      course,
      result.status,
      result.end === AttemptOutcome.served ? 'served' : result.reason,
      {
        firstBytesMs: result.firstBytesMs,
      },
    );
    return false;
  }
  if (result.end === AttemptOutcome.callerLeft) {
    recordCompletion(course, 0, 'caller left');
    return false;
  }
  const failure = result.failure ?? AttemptFailure.broken;
  if (failure === AttemptFailure.broken) course.attemptsRun += 1;
  recordFailure(course, server, failure);
  if (result.end === AttemptOutcome.timedOut) {
    failRequest(course, 504, 'no answer in time', { cause: result.reason });
    return false;
  }
  const mayGoOn =
    course.sends < MOST_SENDS &&
    mayRetry({
      failure,
      retryPolicy:
        reply.isHeadSent() && retryPolicy !== RetryPolicy.resumable
          ? RetryPolicy.once
          : retryPolicy,
      attemptsRun: course.attemptsRun,
      maximumAttempts,
      remainingMs: computeRemainingMs(course),
    }) &&
    // A server that was never reached saw no arrival.
    (failure === AttemptFailure.unreachable || context.retryBudget.tryTakeRetry(request.service));
  if (mayGoOn) return true;
  if (failure === AttemptFailure.broken)
    failRequest(course, 502, 'attempt failed, outcome unknown', { cause: result.reason });
  else refuseRequest(course, 'servers refused the request', MIN_RETRY_AFTER_MS);
  return false;
}

/** Estimates when a request that no server can take finds one. */
function estimateReturn({ context, request }: RequestState): number {
  const { service, model } = request;
  const expectedMs =
    model === undefined || context.serverRegistry.listCandidates({ service, model }).length > 0
      ? undefined
      : context.placement.estimateModelMs(service, model);
  return expectedMs ?? UNKNOWN_RETURN_MS;
}

async function runCourse(course: RequestState): Promise<void> {
  const { request, reply } = course;
  for (;;) {
    const choice = await chooseServer(course);
    if (reply.signal.aborted) {
      recordCompletion(course, 0, 'caller left');
      return;
    }
    if (computeRemainingMs(course) <= 0) {
      refuseRequest(course, 'no server in time', MIN_RETRY_AFTER_MS);
      return;
    }
    if (choice === undefined) {
      const reason =
        request.model === undefined ? 'no server' : 'no engine for the model or adapter';
      refuseRequest(course, reason, estimateReturn(course));
      return;
    }
    const patienceMs = computeMaximumDelayMs(request, computeRemainingMs(course));
    if (choice.delayMs > patienceMs) {
      const retryAfterMs = choice.delayMs - patienceMs;
      refuseRequest(course, 'servers are too far behind', retryAfterMs, {
        delayMs: Math.round(choice.delayMs),
        patienceMs,
      });
      return;
    }
    if (!(await tryServer(course, choice))) return;
  }
}

/** Serves one request from its admission to the end of its answer. */
export async function serveRequest(
  context: ServingContext,
  request: ServingRequest,
  reply: CallerResponse,
): Promise<void> {
  const course: RequestState = {
    context,
    request,
    reply,
    routed: describeRequest(request),
    excludedServers: new Set(),
    missing: new Set(),
    sends: 0,
    attemptsRun: 0,
    lastReason: '',
  };
  const { organisation, chargedTokens, model, service } = request;
  if (organisation !== undefined) {
    const charge = context.rateLimiter.charge(organisation, chargedTokens);
    if (!charge.isAdmitted) {
      const { retryAfterMs, level, rate, fleetAgeMs } = charge;
      failRequest(course, 429, 'organisation is over its rate', {
        retryAfterMs,
        tokens: chargedTokens,
        level: Math.round(level),
        rate,
        fleetAgeMs: Math.round(fleetAgeMs),
      });
      return;
    }
  }
  context.retryBudget.recordRequest(service);
  if (model !== undefined) {
    const work = course.routed.ownTokens + OUTPUT_WORK * request.maximumOutputTokens;
    context.placement.recordDemand(service, model, work);
  }
  await runCourse(course);
  if (course.sends === 0 && organisation !== undefined)
    context.rateLimiter.refund(organisation.name, chargedTokens);
}
