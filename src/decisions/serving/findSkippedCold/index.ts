import { computeColdDelayMs } from '../computeColdDelayMs/index.js';
import type { RankedServer } from '../types.js';

/**
 * Finds the cold server that would rank before the chosen one if it were warm, for the log. Answers
 * the question of operators why an engine stays empty while others are full.
 */
export function findSkippedCold(
  ranked: readonly RankedServer[],
  chosen: RankedServer,
): RankedServer | undefined {
  return ranked.find(({ candidate, scoreMs }) => {
    const { id, waitMs, coldMs = 0 } = candidate;
    const warmScoreMs = scoreMs - waitMs - computeColdDelayMs(coldMs);
    return id !== chosen.candidate.id && coldMs > 0 && warmScoreMs < chosen.scoreMs;
  });
}
