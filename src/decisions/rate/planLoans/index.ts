import type { LenderLevel, PlannedLoan } from '../types.js';

/** Options of a plan of loans. */
export interface PlanLoansOptions {
  /** Most peers asked at once; 8 by default. */
  maximumLenders?: number;
}

/** Finds the level to which the richest lenders come down when they give so much together. */
function findCommonLevel(levels: readonly number[], units: number): number {
  let sum = 0;
  for (const [index, level] of levels.entries()) {
    sum += level;
    const common = (sum - units) / (index + 1);
    const next = levels[index + 1] ?? 0;
    if (common >= next) return common;
  }
  return 0;
}

/**
 * Plans whom to ask for missing units: the richest first, down to a common level, so that no bucket is
 * left to overflow while others are empty. When the last figures promise too little, the richest is
 * asked for the rest as well, since figures lag.
 */
export function planLoans(
  missingUnits: number,
  lenders: readonly LenderLevel[],
  options: PlanLoansOptions = {},
): PlannedLoan[] {
  const { maximumLenders = 8 } = options;
  const richest = lenders
    .filter(({ units }) => units > 0)
    .sort((one, other) => other.units - one.units)
    .slice(0, maximumLenders);
  const common = findCommonLevel(
    richest.map(({ units }) => units),
    missingUnits,
  );
  const asks = richest
    .map(({ host, units }) => ({ host, units: Math.floor(units - common) }))
    .filter(({ units }) => units > 0);
  const left = missingUnits - asks.reduce((sum, { units }) => sum + units, 0);
  return left > 0 ? addToFirstAsk(asks, left) : asks;
}

function addToFirstAsk(asks: PlannedLoan[], missing: number): PlannedLoan[] {
  const [first, ...others] = asks;
  return first === undefined ? [] : [{ host: first.host, units: first.units + missing }, ...others];
}
