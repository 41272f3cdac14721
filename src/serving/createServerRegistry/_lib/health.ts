/** How a request left a server, as far as the server's health goes. */
export const ServerOutcome = {
  served: 'served',
  failed: 'failed',
  unreachable: 'unreachable',
  /** Says nothing of the server. */
  neutral: 'neutral',
} as const;
export type ServerOutcome = (typeof ServerOutcome)[keyof typeof ServerOutcome];

/** What this host's own requests have shown of a server. */
export interface ServerHealth {
  /** Part of the last attempts that failed, as of failureAtMs. */
  failureRate: number;
  failureRateAtMs: number;
  /** Until then the server is asked only where no other is left. */
  avoidUntilMs: number;
  /** Attempts in a row that did not reach it. */
  streak: number;
  lastBytesAtMs: number;
  /** Since when requests have been on their way without a pause. */
  busySinceMs: number;
  /** Typical time of a request in milliseconds. */
  serviceTimeMs: number;
  /** How many times longer than estimated its first answers take. */
  latencyRatio: number;
}

const FAILURE_WEIGHT = 0.2; // five attempts decide what a server is thought of
const FAILURE_HALF_LIFE_MS = 4000; // troubles of servers last some seconds
const AVOID_MS = 800; // first pause after a server can't be reached; doubles to the greatest
const AVOID_MOST_MS = 3000;
const SILENT_MS = 900; // an engine in work sends some bytes every few tens of milliseconds
const SLOWNESS_WEIGHT = 0.1; // some ten answers tell a slow server from an unlucky request
const LEAST_SLOWNESS = 0.3; // the fastest model takes a third of the slowest one's time
const MOST_SLOWNESS = 8; // what a server in trouble is known to take
const LEAST_DELAY_MS = 40; // way there and back, and one step of a batch
const FIRST_RUN_MS = 200;
const RUN_WEIGHT = 0.1;

/** Creates the health of a server of which nothing is known. */
export function createServerHealth(nowMs: number): ServerHealth {
  return {
    failureRate: 0,
    failureRateAtMs: nowMs,
    avoidUntilMs: 0,
    streak: 0,
    lastBytesAtMs: 0,
    busySinceMs: Infinity,
    serviceTimeMs: FIRST_RUN_MS,
    latencyRatio: 1,
  };
}

/** Computes the part of failures now; older ones count less. */
export function computeFailureShare(health: ServerHealth, nowMs: number): number {
  return health.failureRate * 0.5 ** ((nowMs - health.failureRateAtMs) / FAILURE_HALF_LIFE_MS);
}

/** Tells whether a server says nothing though it owes answers. */
export function isSilent(health: ServerHealth, active: number, nowMs: number): boolean {
  return active > 0 && nowMs - Math.max(health.lastBytesAtMs, health.busySinceMs) > SILENT_MS;
}

/** Records how long a first answer took against what was estimated. */
export function recordFirstByteDelay(
  health: ServerHealth,
  tookMs: number,
  estimatedMs: number,
  nowMs: number,
): void {
  health.lastBytesAtMs = nowMs;
  const ratio = tookMs / Math.max(LEAST_DELAY_MS, estimatedMs);
  const bounded = Math.min(MOST_SLOWNESS, Math.max(LEAST_SLOWNESS, ratio * health.latencyRatio));
  health.latencyRatio += SLOWNESS_WEIGHT * (bounded - health.latencyRatio);
}

/** Records how a request left the server; returns whether the server is avoided from now on. */
export function recordOutcome(
  health: ServerHealth,
  outcome: ServerOutcome,
  tookMs: number,
  nowMs: number,
): boolean {
  if (outcome === ServerOutcome.neutral) return false;
  const isServed = outcome === ServerOutcome.served;
  const share = computeFailureShare(health, nowMs);
  health.failureRate = share + FAILURE_WEIGHT * ((isServed ? 0 : 1) - share);
  health.failureRateAtMs = nowMs;
  health.streak = outcome === ServerOutcome.unreachable ? health.streak + 1 : 0;
  if (isServed) {
    health.lastBytesAtMs = nowMs;
    health.serviceTimeMs += RUN_WEIGHT * (tookMs - health.serviceTimeMs);
  }
  if (outcome !== ServerOutcome.unreachable) return false;
  health.avoidUntilMs = nowMs + Math.min(AVOID_MOST_MS, AVOID_MS * 2 ** (health.streak - 1));
  return true;
}
