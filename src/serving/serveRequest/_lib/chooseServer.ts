import { setTimeout as sleep } from 'node:timers/promises';
import { computeChoiceSpread } from '../../../decisions/serving/computeChoiceSpread/index.js';
import {
  computeMaximumDelayMs,
  computePatienceMs,
} from '../../../decisions/serving/computeMaximumDelayMs/index.js';
import { computeModelWaitMs } from '../../../decisions/serving/computeModelWaitMs/index.js';
import { findSkippedCold } from '../../../decisions/serving/findSkippedCold/index.js';
import { rankServers } from '../../../decisions/serving/rankServers/index.js';
import type { RankedServer } from '../../../decisions/serving/types.js';
import type { BackendServer } from '../../../ports/serving.js';
import { isServerWithinLimit, mayExceedServerLimit, rankWithinLimits } from './rankWithinLimits.js';
import { computeRemainingMs, type RequestState, type SkippedColdServer } from './requestState.js';

const MAX_ADAPTER_CANDIDATES = 3; // engines that the leader may choose from

/**
 * Puts the servers that can begin the response in time first, and the others in the order of their
 * delay, so that a request is refused only if no server is in time.
 */
function rankAcceptableFirst(ranked: readonly RankedServer[], maximumDelayMs: number) {
  const late = ranked.filter(({ delayMs }) => delayMs > maximumDelayMs);
  return [
    ...ranked.filter(({ delayMs }) => delayMs <= maximumDelayMs),
    ...late.sort((one, other) => one.delayMs - other.delayMs),
  ];
}

/** Ranks the candidate servers of a request by their estimated delay. */
function rankCandidates(state: RequestState): RankedServer[] {
  const { context, request, routed, excludedServers } = state;
  const { service, model, adapter } = request;
  const { sharedParts, hasPauseTarget = false } = routed;
  const candidates = context.serverRegistry.listCandidates({
    service,
    model,
    adapter,
    excluded: excludedServers,
    boundVersion: state.boundVersion,
    sharedParts,
    hasPauseTarget,
  });
  state.serversAgeMs = context.getServersAgeMs();
  state.evacuated = context.serverRegistry.listEvacuated({ service, model });
  state.evacuationsAgeMs = context.evacuations.getAgeMs();
  const spread = computeChoiceSpread(context.serverRegistry.getHostCount());
  return rankAcceptableFirst(
    rankWithinLimits(
      state,
      rankServers(candidates, routed, context.random, {
        spread,
        ...(hasPauseTarget ? context.load : {}),
        usesAgeMs: context.serverRegistry.getUsesAgeMs(),
        prefixRequestsPerMs: context.serverRegistry.getPrefixRate(routed.affinityKey),
      }),
    ),
    computeMaximumDelayMs(request, computeRemainingMs(state)),
  );
}

/**
 * Computes the milliseconds in which a request may still be sent to a server. A stopping host refuses
 * in time what it could not begin before its end.
 */
function computeSendableMs(state: RequestState): number {
  const { clock, getLastSendAtMs } = state.context;
  return Math.min(computeRemainingMs(state), getLastSendAtMs() - clock.monotonicMs());
}

/** Whether servers hold the model, but none of the software version to which the request is bound. */
export function isHeldAtOtherVersion({ context, request, boundVersion }: RequestState): boolean {
  const { service, model } = request;
  return (
    boundVersion !== undefined &&
    context.serverRegistry.listCandidates({ service, model }).length > 0
  );
}

/** Ranks the servers of a request; waits for a model that no engine holds yet if that is worth it. */
async function findServers(state: RequestState): Promise<RankedServer[]> {
  const { context, request, response } = state;
  const ranked = rankCandidates(state);
  if (ranked.length > 0 || request.model === undefined) return ranked;
  if (isHeldAtOtherVersion(state)) return ranked;
  const expectedMs = context.placement.estimateModelMs(request.service, request.model);
  if (expectedMs === undefined) return [];
  const patienceMs = Math.min(
    computePatienceMs(request, computeRemainingMs(state)),
    computeSendableMs(state),
  );
  const waitMs = computeModelWaitMs({ expectedMs, patienceMs });
  if (waitMs === 0) return [];
  await context.placement.waitForModel(request, waitMs, response.signal, context.getLastSendAtMs);
  return rankCandidates(state);
}

/** The selected server, with the estimates for the request on it. */
export interface ServerSelection {
  server: BackendServer;
  delayMs: number;
  /** Milliseconds until the server wants the request; part of `delayMs`. */
  waitMs: number;
  uncachedTokens: number;
  /** Wait from which on another server suits the request better; Infinity without another one. */
  usefulWaitMs: number;
  /** Whether the server is below the limit of what it runs at once. */
  isWithinLimit: boolean;
  /** Whether the request may run there beyond the limit instead of being refused. */
  mayExceedLimit: boolean;
}

/** Describes the cold server that would have been chosen if it were warm, for the log. */
function describeSkippedCold(
  { context }: RequestState,
  skipped: RankedServer | undefined,
): SkippedColdServer | undefined {
  const { serverNotices, serverRegistry } = context;
  const server = skipped && serverRegistry.findServer(skipped.candidate.id);
  if (server === undefined) return undefined;
  return {
    skippedCold: server.id,
    coldMs: Math.round(serverNotices.getColdMs(server.incarnation)),
    coldAgeMs: Math.round(serverNotices.getColdAgeMs(server.incarnation)),
  };
}

/** Picks a ranked server, and records the cold one that it goes before. */
function pickRankedServer(
  state: RequestState,
  ranked: readonly RankedServer[],
  id: string,
): ServerSelection | undefined {
  const chosen = ranked.find(({ candidate }) => candidate.id === id);
  const server = state.context.serverRegistry.findServer(id);
  if (chosen === undefined || server === undefined) return undefined;
  const { candidate, delayMs, uncachedTokens } = chosen;
  const { waitMs } = candidate;
  state.skippedCold = describeSkippedCold(state, findSkippedCold(ranked, chosen));
  const otherScoresMs = ranked.filter((other) => other !== chosen).map(({ scoreMs }) => scoreMs);
  const usefulWaitMs = Math.max(0, Math.min(...otherScoresMs) - (chosen.scoreMs - waitMs));
  const isWithinLimit = isServerWithinLimit(state, chosen);
  return {
    server,
    delayMs,
    waitMs,
    uncachedTokens,
    usefulWaitMs,
    isWithinLimit,
    mayExceedLimit: mayExceedServerLimit(state, chosen),
  };
}

/** Selects a server for a request; has the adapter loaded when the best server lacks it. */
export async function chooseServer(state: RequestState): Promise<ServerSelection | undefined> {
  const { context, request } = state;
  const { model, adapter } = request;
  const { signal } = state.response;
  const ranked = await findServers(state);
  const best = ranked[0];
  if (best === undefined) return undefined;
  if (model === undefined || adapter === undefined || best.candidate.holdsAdapter)
    return pickRankedServer(state, ranked, best.candidate.id);
  const servers = ranked.slice(0, MAX_ADAPTER_CANDIDATES).map(({ candidate }) => candidate.id);
  const missing = [...state.missing];
  const grant = await context.placement.requestAdapter(
    { model, adapter, servers, missing },
    { remainingMs: computeSendableMs(state), signal },
  );
  if (grant !== undefined) {
    const readyInMs = Math.min(grant.readyInMs, computeSendableMs(state));
    if (readyInMs > 0) await sleep(readyInMs, undefined, { signal }).catch(() => undefined);
    context.serverRegistry.recordAdapterState(grant.server, model, adapter, true);
    // It may have announced its leave since it was chosen.
    if (context.serverRegistry.findServer(grant.server)?.isLeaving === true)
      return chooseServer(state);
    return pickRankedServer(state, ranked, grant.server);
  }
  const holder = ranked.find(({ candidate }) => candidate.holdsAdapter);
  return holder && pickRankedServer(state, ranked, holder.candidate.id);
}
