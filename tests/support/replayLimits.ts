import {
  buildFirstLimit,
  SUFFICIENT_STREAMS,
  updateConcurrencyLimit,
} from '#dist/decisions/concurrency/updateConcurrencyLimit/index.js';
import { isWithinLimit } from '#dist/decisions/concurrency/isWithinLimit/index.js';
import type { LearnedLimit } from '#dist/decisions/concurrency/types.js';
import { computePaceExcesses } from '#dist/decisions/pace/computePaceExcesses/index.js';
import { countHeldTokens, replayEngines, type ReplayOptions } from './replayEngines.js';

const SLOTS = 32;
const UPDATE_MS = 1000;
const EMPTY = { streams: 0, lateStreams: 0, active: 0, heldTokens: 0 };

/** Which limits hold in a replay. */
export type LimitRule = 'none' | 'slots' | 'learned';

/** Replays streams and prompts on engines with limits of what they run at once. */
export function replayLimits(
  rule: LimitRule,
  options: Omit<ReplayOptions, 'computePaces' | 'onUpdate' | 'choose'>,
) {
  const limits = new Map<string, LearnedLimit>();
  const observed = new Map<string, typeof EMPTY>();
  let nowMs = 0;
  return replayEngines({
    ...options,
    computePaces: computePaceExcesses,
    onUpdate: (engines) => {
      nowMs += UPDATE_MS;
      for (const engine of engines) {
        const { id, memoryTokens, recent, running, waiting } = engine;
        const before = observed.get(id) ?? EMPTY;
        const waitingTokens = waiting.reduce((sum, { heldTokens }) => sum + heldTokens, 0);
        const next = {
          streams: before.streams + recent.streams,
          lateStreams: before.lateStreams + recent.late,
          active: Math.max(before.active, running.length + waiting.length),
          heldTokens: Math.max(before.heldTokens, countHeldTokens(engine) + waitingTokens),
        };
        const limit = limits.get(id) ?? buildFirstLimit(SLOTS, memoryTokens);
        const observation = { ...next, slots: SLOTS, memoryTokens, nowMs };
        limits.set(
          id,
          rule === 'learned' ? updateConcurrencyLimit(limit, observation, 0.1) : limit,
        );
        observed.set(id, next.streams >= SUFFICIENT_STREAMS ? EMPTY : next);
      }
    },
    choose: (ranked) =>
      ranked.find(
        ({ candidate: { id, active, reservedTokens }, uncachedTokens }) =>
          rule === 'none' ||
          isWithinLimit({
            limit: limits.get(id),
            active,
            heldTokens: reservedTokens,
            addedTokens: uncachedTokens,
          }),
      )?.candidate.id,
  });
}
