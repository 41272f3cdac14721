import { LOAN_DEADLINE_MS, MILLISECONDS_PER_SECOND, UNITS_PER_TOKEN } from '../constants/index.js';

/** Converts tokens to bucket units. */
export function toUnits(tokens: number): number {
  return tokens * UNITS_PER_TOKEN;
}

/** Converts bucket units to whole tokens, rounded down. */
export function toTokens(units: number): number {
  return Math.floor(units / UNITS_PER_TOKEN);
}

/**
 * Computes the burst in tokens that buckets may hold: the configured one, reduced by what is
 * refilled while a loan is in flight for up to LOAN_DEADLINE_MS.
 */
export function computeLendableBurst(rate: number, burst: number): number {
  return burst - Math.ceil((rate * LOAN_DEADLINE_MS) / MILLISECONDS_PER_SECOND);
}
