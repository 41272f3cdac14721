import type { MemoryUse } from '../types.js';

/** What memory is reserved for. */
export const MemoryPurpose = {
  /** A small body, or the overhead of a request. */
  small: 'small',
  /** A body that waits until its whole size can be reserved. */
  waiting: 'waiting',
  /** A body above the small size. */
  large: 'large',
} as const;
export type MemoryPurpose = (typeof MemoryPurpose)[keyof typeof MemoryPurpose];

/** Largest body that may use the whole budget; a larger one leaves the reserve free. */
export const SMALL_BODY_BYTES = 65_536;

/** Shares of the budget up to which memory is reserved; the rest is left to the purposes with a higher one. */
const SHARES: Readonly<Record<MemoryPurpose, number>> = { small: 1, waiting: 0.85, large: 0.75 };

/**
 * Decides whether memory may be reserved. Addresses many large bodies at once: they leave a reserve to
 * small ones, so that ordinary requests are still admitted. A single large body is admitted at every
 * size, also one above the budget.
 */
export function mayReserve(use: MemoryUse, bytes: number, purpose: MemoryPurpose): boolean {
  const { limitBytes, usedBytes, largeBytes } = use;
  const isOnlyLarge = purpose === MemoryPurpose.large && largeBytes === 0;
  return isOnlyLarge || usedBytes + bytes <= SHARES[purpose] * limitBytes;
}
