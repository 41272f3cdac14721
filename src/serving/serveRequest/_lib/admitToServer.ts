import { setTimeout as sleep } from 'node:timers/promises';
import { isReservationLapsed } from '../../../decisions/limits/isReservationLapsed/index.js';
import { computeMaximumDelayMs } from '../../../decisions/serving/computeMaximumDelayMs/index.js';
import { computeMaximumWaitMs } from '../../../decisions/serving/computeMaximumWaitMs/index.js';
import type { ServerSelection } from './chooseServer.js';
import {
  computeRemainingMs,
  MIN_RETRY_AFTER_MS,
  refuseRequest,
  type RequestState,
} from './requestState.js';

/** Whether a request may be sent to the server that was selected for it. */
export const ServerAdmission = {
  send: 'send',
  /** Another server may suit the request better now. */
  chooseAgain: 'chooseAgain',
  /** No server takes the request in time, and the caller has been told. */
  refused: 'refused',
} as const;
export type ServerAdmission = (typeof ServerAdmission)[keyof typeof ServerAdmission];

const MAX_RESERVATIONS = 8; // the other hosts keep the servers with limits busy

/** Waits, but no longer than the caller. */
async function waitForCaller({ response }: RequestState, waitMs: number): Promise<void> {
  if (waitMs <= 0) return;
  await sleep(Math.ceil(waitMs), undefined, { signal: response.signal }).catch(() => undefined);
}

/** Reserves the request at a server with a request limit, and waits until it may be sent. */
async function reserveAtServer(
  state: RequestState,
  { server: { id, incarnation }, usefulWaitMs }: ServerSelection,
  patienceMs: number,
): Promise<ServerAdmission> {
  const { clock, requestLimiter, serverNotices, serverRegistry } = state.context;
  const askedAtMs = clock.monotonicMs();
  const limit = serverNotices.getRequestLimit(incarnation);
  state.reservations += 1;
  const grantedMs = await requestLimiter.reserve(incarnation, Math.min(patienceMs, usefulWaitMs));
  if (grantedMs === undefined) {
    if (state.reservations >= MAX_RESERVATIONS) state.excludedServers.add(id);
    return ServerAdmission.chooseAgain;
  }
  await waitForCaller(state, grantedMs);
  const server = serverRegistry.findServer(id);
  const isStillValid =
    !isReservationLapsed(grantedMs, clock.monotonicMs() - askedAtMs) &&
    server?.incarnation === incarnation &&
    !server.isLeaving &&
    serverNotices.getPauseMs(incarnation) === 0 &&
    serverNotices.getRequestLimit(incarnation) >= limit;
  return isStillValid ? ServerAdmission.send : ServerAdmission.chooseAgain;
}

/**
 * Refuses a request for which no server begins in time; otherwise waits until the selected server
 * wants it.
 */
export async function admitToServer(
  state: RequestState,
  selection: ServerSelection,
): Promise<ServerAdmission> {
  const { context, request, routed } = state;
  const { server, delayMs, waitMs } = selection;
  const remainingMs = computeRemainingMs(state);
  if (context.clock.monotonicMs() > context.getLastSendAtMs()) {
    refuseRequest(state, 'this host is stopping', MIN_RETRY_AFTER_MS);
    return ServerAdmission.refused;
  }
  const untilStopMs = context.getLastSendAtMs() - context.clock.monotonicMs();
  const pauseMs = context.serverNotices.getPauseMs(server.incarnation);
  const maximumWaitMs = computeMaximumWaitMs(request, remainingMs, routed.isUrgent || pauseMs > 0);
  const patienceMs = Math.min(maximumWaitMs, untilStopMs);
  if (waitMs > patienceMs) {
    const { service, model } = request;
    const loadingMs = model === undefined ? 0 : context.placement.getLoadingMs(service, model);
    refuseRequest(state, 'servers take no requests for a while', Math.max(waitMs, loadingMs), {
      nextServer: server.id,
      requestsPerSecond: context.serverNotices.getRequestLimit(server.incarnation),
      waitMs: Math.round(waitMs),
      patienceMs: Math.round(patienceMs),
    });
    return ServerAdmission.refused;
  }
  const maximumDelayMs = computeMaximumDelayMs(request, remainingMs);
  if (delayMs > maximumDelayMs) {
    refuseRequest(state, 'servers are too far behind', delayMs - maximumDelayMs, {
      delayMs: Math.round(delayMs),
      patienceMs: maximumDelayMs,
    });
    return ServerAdmission.refused;
  }
  if (pauseMs > 0) {
    await waitForCaller(state, pauseMs);
    return ServerAdmission.chooseAgain;
  }
  if (context.serverNotices.getRequestLimit(server.incarnation) === Infinity)
    return ServerAdmission.send;
  return reserveAtServer(state, selection, patienceMs);
}
