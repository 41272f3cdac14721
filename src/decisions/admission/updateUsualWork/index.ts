/** Work of an organisation before, in tokens a second. */
export interface UsualWorkOptions {
  /** Work that it usually asks for. */
  usual: number;
  /** Work that it asks for at present. */
  recent: number;
  elapsedMs: number;
  /** Time for which the work has been observed. */
  observedMs: number;
  /** Whether the service is over its level. */
  isOverLevel: boolean;
}

const HALF_LIFE_MS = 30_000;
const OVER_LEVEL_FACTOR = 0.1; // a surge must not become the usual while it harms others

/**
 * Computes what an organisation usually asks for. Answers an organisation that suddenly sends many
 * times its usual: the usual follows within a minute on calm days and ten times slower in a shortage.
 * At the beginning it is the mean of what was observed.
 */
export function updateUsualWork(options: UsualWorkOptions): number {
  const { usual, recent, elapsedMs, observedMs, isOverLevel } = options;
  const factor = isOverLevel && recent > usual ? OVER_LEVEL_FACTOR : 1;
  const weight = 1 - 0.5 ** (elapsedMs / HALF_LIFE_MS);
  const startWeight = elapsedMs / Math.max(elapsedMs, observedMs);
  return usual + (recent - usual) * factor * Math.max(weight, startWeight);
}
