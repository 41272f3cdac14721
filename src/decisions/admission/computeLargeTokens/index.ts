const STEPS_PER_DOUBLING = 4;
const MAX_INDEX = 120; // a thousand million tokens
const LARGEST_FRACTION = 0.1;

/** Computes the index of a request in the counts of requests by size. */
export function computeSizeIndex(tokens: number): number {
  const index = Math.floor(STEPS_PER_DOUBLING * Math.log2(Math.max(1, tokens)));
  return Math.min(MAX_INDEX, index);
}

/**
 * Computes the tokens from which on requests belong to the largest tenth, from counts of requests by
 * size; Infinity without requests. At least a tenth of the requests are large then, as sizes are counted
 * in steps.
 */
export function computeLargeTokens(counts: readonly number[]): number {
  const total = counts.reduce((sum, requests) => sum + requests, 0);
  let above = 0;
  for (let index = counts.length - 1; index >= 0; index -= 1) {
    above += counts[index] ?? 0;
    if (total > 0 && above >= LARGEST_FRACTION * total) return 2 ** (index / STEPS_PER_DOUBLING);
  }
  return Infinity;
}
