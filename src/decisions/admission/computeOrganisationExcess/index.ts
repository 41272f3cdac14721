/** Work of one organisation in the last seconds, in tokens a second. */
export interface OrganisationWork {
  /** Counter of its tokens, which decays, so that idle time earns no credit. */
  recent: number;
  /** Work that it may ask for in a shortage without being refused before others. */
  allowance: number;
}

/**
 * Computes by how much organisations together ask for more than usual: the median of their ratios,
 * weighted by the usual work, and at least 1. In a wave of all callers nobody is above its share.
 */
export function computeCommonSurge(
  organisations: readonly { recent: number; usual: number }[],
): number {
  const known = organisations
    .filter(({ usual }) => usual > 0)
    .map(({ recent, usual }) => ({ ratio: recent / usual, usual }))
    .sort((one, other) => one.ratio - other.ratio);
  let rest = known.reduce((sum, { usual }) => sum + usual, 0) / 2;
  const median = known.find(({ usual }) => (rest -= usual) <= 0);
  return Math.max(1, median?.ratio ?? 1);
}

const ROUNDS = 40; // halvings of the interval; the result is exact to a token

/**
 * Computes how much of the work of each organisation is refused before that of others. Answers the load
 * of one organisation that sends many times its usual: counters of tokens relative to the allowances
 * (virtual token counters) are cut from the top down to one common ratio, but no lower than the
 * allowances. What others leave of theirs raises the ratio, and is back at once when they ask for it.
 */
export function computeOrganisationExcess(
  organisations: ReadonlyMap<string, OrganisationWork>,
  refusedWork: number,
): Map<string, number> {
  if (refusedWork <= 0) return new Map();
  const works = [...organisations.values()];
  const sumAbove = (ratio: number): number =>
    works.reduce((sum, { recent, allowance }) => sum + Math.max(0, recent - ratio * allowance), 0);
  let low = 1;
  if (sumAbove(low) > refusedWork) {
    let high = Math.max(1, ...works.map(({ recent, allowance }) => recent / allowance));
    for (let round = 0; round < ROUNDS; round += 1) {
      const middle = (low + high) / 2;
      if (sumAbove(middle) > refusedWork) low = middle;
      else high = middle;
    }
  }
  return new Map(
    [...organisations].flatMap(([name, { recent, allowance }]) => {
      const excess = recent - low * allowance;
      return excess > 0 ? [[name, excess]] : [];
    }),
  );
}
