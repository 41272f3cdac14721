/** Fixed keys in the key-value service. */
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

/** Builds the key that marks a slot holder as alive; it expires with the holder's lease. */
export function buildSlotHolderKey(holderId: string): string {
  return `slot-holders/${holderId}`;
}

/** Builds the key of one partition of claims on idempotency keys. */
export function buildClaimsKey(partition: number): string {
  return `claims/${partition}`;
}
