import type { RequestSchedule, Reservation, ReservationOptions } from '../types.js';

const VALIDITY_MS = 1000; // of a time at which this host may send, as reserveRequest keeps them
// Hosts that know of each other only from earlier views may be more than this one counts.
const SAFETY_FACTOR = 0.8;

/** Options of a reservation by one of several hosts that do not ask a leader. */
export interface LocalReservationOptions extends ReservationOptions {
  /** Number of hosts among which the requests are divided. */
  hostCount: number;
}

function computeIntervalMs(perSecond: number, hostCount: number): number {
  return (1000 * hostCount) / (SAFETY_FACTOR * perSecond);
}

/**
 * Creates this host's schedule, at a random phase of its interval: hosts that lost their leader at
 * the same moment would otherwise all send at the same moment as well.
 */
export function createLocalSchedule(
  { nowMs, perSecond, hostCount }: Omit<LocalReservationOptions, 'maximumWaitMs'>,
  random: number,
): RequestSchedule {
  return { nextAtMs: nowMs + random * computeIntervalMs(perSecond, hostCount) };
}

/**
 * Reserves a request within this host's share of a server's limit. The times at which a host may send
 * lapse unless they are used soon, or the hosts together would save up one request each: 195 at once
 * for a server that takes one a second.
 */
export function reserveLocalRequest(
  { nextAtMs }: RequestSchedule,
  { nowMs, perSecond, hostCount, maximumWaitMs, burstMs = VALIDITY_MS }: LocalReservationOptions,
): Reservation {
  const intervalMs = computeIntervalMs(perSecond, hostCount);
  const lapsed = Math.max(0, Math.ceil((nowMs - burstMs - nextAtMs) / intervalMs));
  const dueAtMs = nextAtMs + lapsed * intervalMs;
  const waitMs = Math.max(0, dueAtMs - nowMs);
  if (waitMs > maximumWaitMs) return { schedule: { nextAtMs: dueAtMs }, isGranted: false, waitMs };
  return { schedule: { nextAtMs: dueAtMs + intervalMs }, isGranted: true, waitMs };
}
