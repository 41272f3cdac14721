/** Keys of the key-value service. */
export const StorageKeys = {
  bundleHead: 'bundle/head',
  withdrawals: 'keys/withdrawn',
  shares: 'shares',
  ledger: 'placement/ledger',
  placementLeader: 'placement/leader',
} as const;

/** Builds the key of one part of a signed bundle. */
export function buildBundlePartKey(digest: string, part: number): string {
  return `bundle/${digest}/${part}`;
}

/** Builds the key that stands while a holder's lease on its slots does. */
export function buildSlotHolderKey(incarnation: string): string {
  return `slot-holders/${incarnation}`;
}

/** Builds the key of one partition of the claims. */
export function buildClaimsKey(partition: number): string {
  return `claims/${partition}`;
}
