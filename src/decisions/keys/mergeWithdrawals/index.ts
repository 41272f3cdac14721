import type { Bundle } from '../../bundle/types.js';
import { hashText } from '../../bundle/hashText/index.js';
import type { Withdrawal } from '../types.js';

/** Computes the union of two sets of withdrawals; the result does not depend on their order. */
export function mergeWithdrawals(
  known: readonly Withdrawal[],
  incoming: readonly Withdrawal[],
): Withdrawal[] {
  const bySignedText = new Map([...known, ...incoming].map((item) => [item.signed, item]));
  return [...bySignedText.values()].sort((one, other) => (one.signed < other.signed ? -1 : 1));
}

/** Computes a digest that two hosts compare to check whether they know the same withdrawals. */
export function computeWithdrawalsDigest(withdrawals: readonly Withdrawal[]): string {
  const signedTexts = withdrawals.map(({ signed }) => signed).sort();
  return hashText(signedTexts.join('\n'));
}

/**
 * Drops withdrawals that are no longer needed: a bundle newer than the withdrawal lists none of its
 * keys. A host with an older bundle keeps them.
 */
export function dropObsoleteWithdrawals(
  withdrawals: readonly Withdrawal[],
  bundle: Bundle,
): Withdrawal[] {
  const listed = new Set(bundle.organisations.flatMap(({ keys }) => keys));
  return withdrawals.filter(
    ({ digests, bundleVersion }) =>
      bundle.version <= bundleVersion || digests.some((digest) => listed.has(digest)),
  );
}
