/** What a host last reached, in milliseconds of its monotonic clock. */
export interface LastContacts {
  /** Last answer of the key-value service. */
  serviceAtMs: number;
  /** Last heartbeat of each other listed entry host; left out for hosts never heard. */
  peersAtMs: Readonly<Record<string, number>>;
  /** Ids of all listed entry hosts but this one. */
  listedPeers: readonly string[];
}

/** Time in milliseconds without contact after which a host refuses new requests. */
export const ISOLATION_TIMEOUT_MS = 3000;

/**
 * Tells whether a host may have missed withdrawals: for the stated time it reached neither the
 * key-value service nor more than half of the listed entry hosts, itself counted as reached.
 */
export function isIsolated(
  contacts: LastContacts,
  nowMs: number,
  afterMs: number = ISOLATION_TIMEOUT_MS,
): boolean {
  const isRecent = (atMs: number | undefined): boolean =>
    atMs !== undefined && nowMs - atMs <= afterMs;
  if (isRecent(contacts.serviceAtMs)) return false;
  const reached = contacts.listedPeers.filter((id) => isRecent(contacts.peersAtMs[id])).length + 1;
  const listed = contacts.listedPeers.length + 1;
  return reached * 2 <= listed;
}
