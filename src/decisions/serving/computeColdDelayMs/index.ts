const MAX_COLD_DELAY_MS = 400; // first requests on a cold engine take a few times as long
const FADE_MS = 4000; // over the last seconds the delay falls evenly, and load returns with it

/** Longest time for which a host still counts a server as cold after it has become warm. */
export const MAX_SHIFT_MS = 1500;

/**
 * Computes what a cold server adds to the estimated delay of a request. Answers the moment at which a
 * server turns warm: it is empty, and all hosts would choose it first. The delay fades with the
 * remaining time instead of ending at once, and each host adds a random part of `MAX_SHIFT_MS` to that time.
 */
export function computeColdDelayMs(coldMs: number): number {
  return MAX_COLD_DELAY_MS * Math.min(1, Math.max(0, coldMs) / FADE_MS);
}
