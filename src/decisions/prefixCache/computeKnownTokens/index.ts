/** What is known of a prefix at the engine that requests with it prefer. */
export interface KnownTokensOptions {
  /** Tokens of the prefix. */
  sharedTokens: number;
  /** Tokens of it that the engine probably holds, by what hosts have sent there. */
  cachedTokens: number;
  /** How far only those count, from 0 to 1; 0 by default, which counts the whole prefix. */
  knownWeight?: number;
  /** Milliseconds since the host last learned of what others have sent; 0 by default. */
  usesAgeMs?: number;
}

const MAX_USES_AGE_MS = 3000; // older views, or none with uses, leave out most of what engines hold

/**
 * Computes how many tokens of a prefix count as cached at its preferred engine. Answers the load of new
 * prefixes, and of engines that have just started: an engine that lacks the prefix counted as holding it,
 * so that a whole burst waited there and its backlog was estimated too low. A host that does not learn what others
 * send counts the whole prefix: it would copy each prefix to all engines otherwise.
 */
export function computeKnownTokens({
  sharedTokens,
  cachedTokens,
  knownWeight = 0,
  usesAgeMs = 0,
}: KnownTokensOptions): number {
  if (usesAgeMs > MAX_USES_AGE_MS) return sharedTokens;
  return sharedTokens - knownWeight * Math.max(0, sharedTokens - cachedTokens);
}
