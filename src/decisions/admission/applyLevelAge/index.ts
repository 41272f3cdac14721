import type { AdmissionLevel } from '../types.js';

const KEPT_MS = 3000; // another host leads by then, unless the store is away too
const HALF_LIFE_MS = 4000;

/**
 * Lowers a level that no leader has renewed for a while: it is kept at first, and then lowered slowly.
 * Answers a leader that fails in a wave: without its level all hosts would send the whole wave to the
 * engines at once, and with a level that stayed they would refuse for ever.
 */
export function applyLevelAge(level: AdmissionLevel, ageMs: number): AdmissionLevel {
  if (ageMs <= KEPT_MS) return level;
  const factor = 0.5 ** ((ageMs - KEPT_MS) / HALF_LIFE_MS);
  const lower = <Share extends { share: number }>(item: Share): Share => ({
    ...item,
    share: 1 - (1 - item.share) * factor,
  });
  return {
    ...level,
    refusedShare: level.refusedShare * factor,
    classes: level.classes.map(lower),
    organisations: level.organisations.map(lower),
    largeShare: 1 - (1 - level.largeShare) * factor,
  };
}
