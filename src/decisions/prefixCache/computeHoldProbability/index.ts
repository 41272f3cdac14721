/** What an engine has processed, and how much it keeps. */
export interface HoldProbabilityOptions {
  /** Tokens that it has processed since it last used the prompt part. */
  sinceTokens: number;
  /** Its memory in tokens; 0 if unknown. */
  memoryTokens: number;
}

const UNCERTAINTY = 0.5; // hosts know what an engine has processed to about a half

/**
 * Computes the probability that an engine still holds a prompt part. It falls from 1 to 0 around the point
 * at which the tokens that the engine has processed since fill its memory. Answers the load of more
 * prefixes than fit: after a fixed time a busy engine has evicted what an idle one still holds.
 */
export function computeHoldProbability({
  sinceTokens,
  memoryTokens,
}: HoldProbabilityOptions): number {
  if (memoryTokens <= 0) return 0;
  const ratio = Math.max(0, sinceTokens) / memoryTokens;
  return Math.min(1, Math.max(0, (1 + UNCERTAINTY - ratio) / (2 * UNCERTAINTY)));
}
