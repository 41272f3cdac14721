import type { LenderLevel, PlannedLoan } from '../types.js';

/** Options of planLoans. */
export interface PlanLoansOptions {
  /** Maximum number of peers to request loans from at once; 8 by default. */
  maximumLenders?: number;
}

/**
 * Finds the common level to which the fullest buckets are drawn down to give `units` together.
 * `levels` are in descending order.
 */
function findCommonLevel(levels: readonly number[], units: number): number {
  let sum = 0;
  for (const [index, level] of levels.entries()) {
    sum += level;
    const commonLevel = (sum - units) / (index + 1);
    const nextLevel = levels[index + 1] ?? 0;
    if (commonLevel >= nextLevel) return commonLevel;
  }
  return 0;
}

/**
 * Plans the loans for missing units: from the fullest buckets, down to a common level, so that no
 * bucket overflows while others are empty. If the known levels do not suffice, the rest is requested
 * from the fullest bucket, as its level may have risen since it was reported.
 */
export function planLoans(
  missingUnits: number,
  lenders: readonly LenderLevel[],
  options: PlanLoansOptions = {},
): PlannedLoan[] {
  const { maximumLenders = 8 } = options;
  const fullest = lenders
    .filter(({ units }) => units > 0)
    .sort((one, other) => other.units - one.units)
    .slice(0, maximumLenders);
  const commonLevel = findCommonLevel(
    fullest.map(({ units }) => units),
    missingUnits,
  );
  const loans = fullest
    .map(({ host, units }) => ({ host, units: Math.floor(units - commonLevel) }))
    .filter(({ units }) => units > 0);
  const uncovered = missingUnits - loans.reduce((sum, { units }) => sum + units, 0);
  return uncovered > 0 ? addToFirstLoan(loans, uncovered) : loans;
}

function addToFirstLoan(loans: PlannedLoan[], units: number): PlannedLoan[] {
  const [first, ...others] = loans;
  return first === undefined ? [] : [{ host: first.host, units: first.units + units }, ...others];
}
