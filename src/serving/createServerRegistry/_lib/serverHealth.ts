/** How a request on a server ended, as far as the health of the server is concerned. */
export const ServerOutcome = {
  served: 'served',
  failed: 'failed',
  unreachable: 'unreachable',
  /** Does not affect the health of the server. */
  neutral: 'neutral',
} as const;
export type ServerOutcome = (typeof ServerOutcome)[keyof typeof ServerOutcome];

/** Health of a server as observed by the requests of this host. */
export interface ServerHealth {
  /** Decaying average of failed attempts, from 0 to 1, as of `failureRateAtMs`. */
  failureRate: number;
  failureRateAtMs: number;
  /** Until then the server is used only when no other one is available. */
  avoidUntilMs: number;
  /** Consecutive attempts that did not reach the server. */
  streak: number;
  lastBytesAtMs: number;
  /** Since when the server has had requests in flight without interruption. */
  busySinceMs: number;
  /** Moving average of the duration of served requests in milliseconds. */
  serviceTimeMs: number;
  /** Moving average of measured over estimated time to first byte. */
  latencyRatio: number;
  /** Responses in that average. */
  measuredResponses: number;
}

const FAILURE_WEIGHT = 0.2; // averages over about five attempts
const FAILURE_HALF_LIFE_MS = 4000; // server faults usually last a few seconds
const UNREACHABLE_BACKOFF_MS = 800; // doubles with each consecutive failure
const MAX_UNREACHABLE_BACKOFF_MS = 3000;
const SILENCE_TIMEOUT_MS = 900; // a working engine sends bytes every few tens of milliseconds
const LATENCY_RATIO_WEIGHT = 0.1; // about ten responses tell a slow server from a slow request
const MIN_LATENCY_RATIO = 0.3; // the fastest model takes a third of the time of the slowest one
const MAX_LATENCY_RATIO = 8; // the slowdown of a degraded server
const MIN_ESTIMATE_MS = 40; // a network round trip and one batch step
const INITIAL_SERVICE_TIME_MS = 200;
const SERVICE_TIME_WEIGHT = 0.1;

/** Creates the initial health of a server without any attempts. */
export function createServerHealth(nowMs: number): ServerHealth {
  return {
    failureRate: 0,
    failureRateAtMs: nowMs,
    avoidUntilMs: 0,
    streak: 0,
    lastBytesAtMs: 0,
    busySinceMs: Infinity,
    serviceTimeMs: INITIAL_SERVICE_TIME_MS,
    latencyRatio: 1,
    measuredResponses: 0,
  };
}

/** Computes the current failure rate; it halves every `FAILURE_HALF_LIFE_MS`. */
export function computeFailureRate(health: ServerHealth, nowMs: number): number {
  return health.failureRate * 0.5 ** ((nowMs - health.failureRateAtMs) / FAILURE_HALF_LIFE_MS);
}

/** Tells whether a server with requests in flight has sent no bytes within the silence timeout. */
export function isSilent(health: ServerHealth, inFlight: number, nowMs: number): boolean {
  return (
    inFlight > 0 && nowMs - Math.max(health.lastBytesAtMs, health.busySinceMs) > SILENCE_TIMEOUT_MS
  );
}

/** Tells whether the last attempt on a server did not reach it, and it is still avoided for that. */
export function isUnreachable(health: ServerHealth, nowMs: number): boolean {
  return health.streak > 0 && nowMs < health.avoidUntilMs;
}

/** Computes what an estimate that was made with a latency ratio would be without it. */
export function computeOrdinaryDelay(estimatedMs: number, latencyRatio: number): number {
  return Math.max(MIN_ESTIMATE_MS, estimatedMs) / latencyRatio;
}

/**
 * Updates the latency ratio with a measured time to first byte and its estimate, which was made with a
 * latency ratio of the fleet or of this host.
 */
export function recordFirstByteDelay(
  health: ServerHealth,
  elapsedMs: number,
  estimatedMs: number,
  nowMs: number,
  usedRatio: number,
): void {
  health.lastBytesAtMs = nowMs;
  health.measuredResponses += 1;
  const ratio = elapsedMs / computeOrdinaryDelay(estimatedMs, usedRatio);
  const boundedRatio = Math.min(MAX_LATENCY_RATIO, Math.max(MIN_LATENCY_RATIO, ratio));
  health.latencyRatio += LATENCY_RATIO_WEIGHT * (boundedRatio - health.latencyRatio);
}

/** Records how a request on the server ended; returns whether a backoff of the server starts. */
export function recordOutcome(
  health: ServerHealth,
  outcome: ServerOutcome,
  elapsedMs: number,
  nowMs: number,
): boolean {
  if (outcome === ServerOutcome.neutral) return false;
  const isServed = outcome === ServerOutcome.served;
  const failureRate = computeFailureRate(health, nowMs);
  health.failureRate = failureRate + FAILURE_WEIGHT * ((isServed ? 0 : 1) - failureRate);
  health.failureRateAtMs = nowMs;
  health.streak = outcome === ServerOutcome.unreachable ? health.streak + 1 : 0;
  if (isServed) {
    health.lastBytesAtMs = nowMs;
    health.serviceTimeMs += SERVICE_TIME_WEIGHT * (elapsedMs - health.serviceTimeMs);
  }
  if (outcome !== ServerOutcome.unreachable) return false;
  health.avoidUntilMs =
    nowMs + Math.min(MAX_UNREACHABLE_BACKOFF_MS, UNREACHABLE_BACKOFF_MS * 2 ** (health.streak - 1));
  return true;
}
