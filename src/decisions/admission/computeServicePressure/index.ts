import { PROMPT_TOKENS_PER_MS, USABLE_MEMORY_FRACTION } from '../../serving/constants.js';
import type { EngineLoad } from '../types.js';

/** Targets and recent streams of a service. */
export interface ServicePressureOptions {
  /** Shortest latency target of its most urgent routes; Infinity without any. */
  urgentTargetMs: number;
  /** Shortest latency target of its other routes; Infinity without any. */
  targetMs: number;
  /** Fraction of the recent streams that began or paused too late. */
  lateShare: number;
}

// The border is a backlog of 1.5 targets while no stream is late, as waiting tokens see long prompts more
// often than callers do, and 0.75 of the target with many late ones.
const CALM_WEIGHT = 0.67;
const LATE_WEIGHT = 0.66;
const MANY_LATE = 0.2;
const SOUND_TARGET_FRACTION = 0.5; // the rest is for the prompt itself and figures of 200 to 400 ms ago
const IDLE_SLOT_FRACTION = 0.5;

/** Computes the backlog in milliseconds that a waiting token has around it on average. */
export function computeSeenBacklogMs(backlogs: readonly number[]): number {
  const total = backlogs.reduce((sum, tokens) => sum + tokens, 0);
  const squares = backlogs.reduce((sum, tokens) => sum + tokens ** 2, 0);
  return total > 0 ? squares / total / PROMPT_TOKENS_PER_MS : 0;
}

/** Returns whether nothing waits at the engines and less than half of their slots are taken. */
export function isServiceIdle(engines: readonly EngineLoad[]): boolean {
  const active = engines.reduce((sum, engine) => sum + engine.active, 0);
  const slots = engines.reduce((sum, engine) => sum + engine.slots, 0);
  return (
    active < IDLE_SLOT_FRACTION * slots && engines.every(({ backlogTokens }) => backlogTokens <= 0)
  );
}

/**
 * Computes how short of capacity the engines of a service are: 1 where the requests that they have
 * are just in time, more where they are late. Answers the load of waves above what the engines process:
 * the backlog that prompts meet is compared with the shortest target, as a mean over the waiting
 * tokens, so that engines with busy models count as much as their callers wait there. Engines process
 * urgent prompts first, so that these are compared with the urgent backlog alone.
 */
export function computeServicePressure(
  engines: readonly EngineLoad[],
  { urgentTargetMs, targetMs, lateShare }: ServicePressureOptions,
): number {
  if (engines.length === 0 || isServiceIdle(engines)) return 0;
  const sum = (read: (engine: EngineLoad) => number): number =>
    engines.reduce((total, engine) => total + read(engine), 0);
  const backlogMs = computeSeenBacklogMs(engines.map(({ backlogTokens }) => backlogTokens));
  const urgentMs = computeSeenBacklogMs(
    engines.map(({ urgentBacklogTokens }) => urgentBacklogTokens),
  );
  const memoryTokens = USABLE_MEMORY_FRACTION * sum((engine) => engine.memoryTokens);
  const lateFactor = CALM_WEIGHT + LATE_WEIGHT * Math.min(1, lateShare / MANY_LATE);
  return Math.max(
    (lateFactor * backlogMs) / targetMs,
    (lateFactor * urgentMs) / urgentTargetMs,
    sum(({ active }) => active) /
      Math.max(
        1,
        sum(({ slots }) => slots),
      ),
    memoryTokens > 0 ? sum(({ reservedTokens }) => reservedTokens) / memoryTokens : 0,
  );
}

/** Computes the backlog above that at which requests are in time, in milliseconds; negative below it. */
export function computeExcessBacklogMs(
  engines: readonly EngineLoad[],
  { urgentTargetMs, targetMs }: Pick<ServicePressureOptions, 'urgentTargetMs' | 'targetMs'>,
): number {
  const backlogMs = computeSeenBacklogMs(engines.map(({ backlogTokens }) => backlogTokens));
  const shortestMs = targetMs < Infinity ? targetMs : urgentTargetMs;
  return backlogMs - SOUND_TARGET_FRACTION * shortestMs;
}
