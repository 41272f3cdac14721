import type { ServingRoute } from '../../../ports/serving.js';
import { PROMPT_TOKENS_PER_MS } from '../../serving/constants.js';

/**
 * Finds the shortest time within which callers of a service expect the first event of a stream, in
 * milliseconds; Infinity where no route of it declares a longest pause between events.
 */
export function findShortestTargetMs(
  routes: readonly Pick<ServingRoute, 'shares' | 'latencyTargetMs' | 'pauseTargetMs'>[],
  service: string,
): number {
  const targetsMs = routes
    .filter(({ shares }) => shares.some((share) => share.service === service))
    .flatMap(({ latencyTargetMs, pauseTargetMs }) =>
      pauseTargetMs === undefined ? [] : [latencyTargetMs],
    );
  return Math.min(Infinity, ...targetsMs);
}

/**
 * Computes the prompt work that waits at an engine, relative to the time within which its callers
 * expect the first event. Answers the load of few but long prompts: they make an engine late while
 * most of its slots are free.
 */
export function computeBacklogUtilisation(backlogTokens: number, targetMs: number): number {
  return backlogTokens / PROMPT_TOKENS_PER_MS / targetMs;
}
