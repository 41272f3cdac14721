import type { RequestSchedule, Reservation, ReservationOptions } from '../types.js';

const BURST_MS = 1000; // requests of which nobody made use may come later, up to those of one second

/**
 * Reserves the next free time of a server with a request limit, for one of all hosts. Answers the
 * load of many hosts, each with far less than a request a second, on one server that takes a few: any
 * number of hosts share one schedule, and each of them learns at once when its request may be sent.
 */
export function reserveRequest(
  { nextAtMs }: RequestSchedule,
  { nowMs, perSecond, maximumWaitMs, burstMs = BURST_MS }: ReservationOptions,
): Reservation {
  const intervalMs = 1000 / perSecond;
  const toleranceMs = Math.max(0, burstMs - intervalMs);
  const atMs = Math.max(nextAtMs, nowMs - toleranceMs);
  const waitMs = Math.max(0, atMs - nowMs);
  if (waitMs > maximumWaitMs) return { schedule: { nextAtMs }, isGranted: false, waitMs };
  return { schedule: { nextAtMs: atMs + intervalMs }, isGranted: true, waitMs };
}
