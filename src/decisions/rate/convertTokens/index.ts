import { LOAN_DEADLINE_MS, MILLISECONDS_PER_SECOND, UNITS_PER_TOKEN } from '../constants/index.js';

/** Converts tokens to bucket units. */
export function toUnits(tokens: number): number {
  return tokens * UNITS_PER_TOKEN;
}

/** Converts bucket units to whole tokens, rounded down. */
export function toTokens(units: number): number {
  return Math.floor(units / UNITS_PER_TOKEN);
}

/** Computes the burst that buckets may hold when loans can be in flight for their deadline. */
export function computeLendableBurst(rate: number, burst: number): number {
  return burst - Math.ceil((rate * LOAN_DEADLINE_MS) / MILLISECONDS_PER_SECOND);
}
