import { setTimeout as sleep } from 'node:timers/promises';
import { computeChoiceSpread } from '../../../decisions/serving/computeChoiceSpread/index.js';
import {
  computeMaximumDelayMs,
  computePatienceMs,
} from '../../../decisions/serving/computeMaximumDelayMs/index.js';
import { computeModelWaitMs } from '../../../decisions/serving/computeModelWaitMs/index.js';
import { rankServers } from '../../../decisions/serving/rankServers/index.js';
import type { RankedServer } from '../../../decisions/serving/types.js';
import type { BackendServer } from '../../../ports/serving.js';
import { computeRemainingMs, type RequestState } from './requestState.js';

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
  const { sharedParts } = routed;
  const candidates = context.serverRegistry.listCandidates({
    service,
    model,
    adapter,
    excluded: excludedServers,
    sharedParts,
  });
  state.serversAgeMs = context.getServersAgeMs();
  const spread = computeChoiceSpread(context.serverRegistry.getHostCount());
  return rankAcceptableFirst(
    rankServers(candidates, routed, context.random, {
      spread,
      othersWeight: routed.hasPauseTarget === true ? context.othersWeight : 0,
    }),
    computeMaximumDelayMs(request, computeRemainingMs(state)),
  );
}

/** Ranks the servers of a request; waits for a model that no engine holds yet if that is worth it. */
async function findServers(state: RequestState): Promise<RankedServer[]> {
  const { context, request, response } = state;
  const ranked = rankCandidates(state);
  if (ranked.length > 0 || request.model === undefined) return ranked;
  const expectedMs = context.placement.estimateModelMs(request.service, request.model);
  if (expectedMs === undefined) return [];
  // A stopping host refuses in time what it could not begin before its end.
  const untilStopMs = context.getLastSendAtMs() - context.clock.monotonicMs();
  const patienceMs = Math.min(computePatienceMs(request, computeRemainingMs(state)), untilStopMs);
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
}

function toServerSelection(
  { context }: RequestState,
  ranked: readonly RankedServer[],
  id: string,
): ServerSelection | undefined {
  const chosen = ranked.find(({ candidate }) => candidate.id === id);
  const server = context.serverRegistry.findServer(id);
  if (chosen === undefined || server === undefined) return undefined;
  const { candidate, delayMs, uncachedTokens } = chosen;
  const { waitMs } = candidate;
  const otherScoresMs = ranked.filter((other) => other !== chosen).map(({ scoreMs }) => scoreMs);
  const usefulWaitMs = Math.max(0, Math.min(...otherScoresMs) - (chosen.scoreMs - waitMs));
  return { server, delayMs, waitMs, uncachedTokens, usefulWaitMs };
}

/** Selects a server for a request; has the adapter loaded when the best server lacks it. */
export async function chooseServer(state: RequestState): Promise<ServerSelection | undefined> {
  const { context, request } = state;
  const { model, adapter } = request;
  const ranked = await findServers(state);
  const best = ranked[0];
  if (best === undefined) return undefined;
  if (model === undefined || adapter === undefined || best.candidate.holdsAdapter)
    return toServerSelection(state, ranked, best.candidate.id);
  const servers = ranked.slice(0, MAX_ADAPTER_CANDIDATES).map(({ candidate }) => candidate.id);
  const grant = await context.placement.requestAdapter({
    model,
    adapter,
    servers,
    missing: [...state.missing],
  });
  if (grant !== undefined) {
    if (grant.readyInMs > 0) await sleep(grant.readyInMs);
    context.serverRegistry.recordAdapterState(grant.server, model, adapter, true);
    // It may have announced its leave since it was chosen.
    if (context.serverRegistry.findServer(grant.server)?.isLeaving === true)
      return chooseServer(state);
    return toServerSelection(state, ranked, grant.server);
  }
  const holder = ranked.find(({ candidate }) => candidate.holdsAdapter);
  return holder && toServerSelection(state, ranked, holder.candidate.id);
}
