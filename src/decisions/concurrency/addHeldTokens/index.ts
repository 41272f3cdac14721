/** Memory that the running requests of one host hold on a server. */
export interface HeldTokens {
  /** Tokens that only one request holds: the rest of its prompt and its output so far. */
  ownTokens: number;
  /** Tokens of shared prompt parts by their hashes, each counted once. */
  parts: ReadonlyMap<number, number>;
}

/**
 * Adds up the memory that the requests of several hosts hold on one server, shared parts once. Answers
 * the load of many requests with one long prefix, which an engine keeps once: counted for each
 * request, its memory would seem exhausted with a tenth of it taken.
 */
export function addHeldTokens(held: Iterable<HeldTokens>): number {
  const allParts = new Map<number, number>();
  let ownTokens = 0;
  for (const item of held) {
    ownTokens += item.ownTokens;
    for (const [hash, tokens] of item.parts)
      allParts.set(hash, Math.max(tokens, allParts.get(hash) ?? 0));
  }
  return [...allParts.values()].reduce((sum, tokens) => sum + tokens, ownTokens);
}
