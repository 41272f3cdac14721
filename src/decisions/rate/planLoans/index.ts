import type { LenderLevel, LoanAsk } from '../types.js';

/** Options of a plan of loans. */
export interface PlanLoansOptions {
  /** Most peers asked at once; 4 by default. */
  maximumAsks?: number;
}

/**
 * Plans whom to ask for missing units: the richest first, and each for what the last figures promise.
 * The last one asked is asked for all that is still missing, since figures lag.
 */
export function planLoans(
  missingUnits: number,
  lenders: readonly LenderLevel[],
  options: PlanLoansOptions = {},
): LoanAsk[] {
  const { maximumAsks = 4 } = options;
  const richest = [...lenders].sort((one, other) => other.units - one.units).slice(0, maximumAsks);
  const asks: LoanAsk[] = [];
  let missing = missingUnits;
  for (const { host, units } of richest) {
    if (missing <= 0) break;
    const asked = Math.min(missing, Math.max(0, units));
    if (asked > 0) asks.push({ host, units: asked });
    missing -= asked;
  }
  return missing > 0 ? addToLastAsk(asks, missing) : asks;
}

function addToLastAsk(asks: LoanAsk[], missing: number): LoanAsk[] {
  const last = asks.at(-1);
  if (last === undefined) return asks;
  return [...asks.slice(0, -1), { host: last.host, units: last.units + missing }];
}
