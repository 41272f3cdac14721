import type { Bundle } from '../../bundle/types.js';
import type { KeyIndex, Withdrawal } from '../types.js';

/** Builds the index from key digests to organisations, without withdrawn keys. */
export function buildKeyIndex(bundle: Bundle, withdrawals: readonly Withdrawal[]): KeyIndex {
  const withdrawn = new Set(withdrawals.flatMap(({ digests }) => digests));
  return new Map(
    bundle.organisations.flatMap(({ name, keys }) =>
      keys.filter((digest) => !withdrawn.has(digest)).map((digest) => [digest, name] as const),
    ),
  );
}
