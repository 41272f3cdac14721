/** Times of a host's last contacts in milliseconds of its monotonic clock. */
export interface LastContacts {
  /** Last response of the key-value service. */
  keyValueServiceAtMs: number;
  /** Last heartbeat of each other listed entry host; omitted for hosts never heard from. */
  peersAtMs: Readonly<Record<string, number>>;
  /** Ids of all listed entry hosts except this one. */
  listedPeers: readonly string[];
}

/** Time in milliseconds without contact after which a host refuses new requests. */
export const ISOLATION_TIMEOUT_MS = 3000;

/**
 * Tells whether a host may have missed key withdrawals: within the timeout it has reached neither
 * the key-value service nor a majority of the listed entry hosts, itself included.
 */
export function isIsolated(
  contacts: LastContacts,
  nowMs: number,
  timeoutMs: number = ISOLATION_TIMEOUT_MS,
): boolean {
  const isRecent = (atMs: number | undefined): boolean =>
    atMs !== undefined && nowMs - atMs <= timeoutMs;
  if (isRecent(contacts.keyValueServiceAtMs)) return false;
  const reached = contacts.listedPeers.filter((id) => isRecent(contacts.peersAtMs[id])).length + 1;
  const listed = contacts.listedPeers.length + 1;
  return reached * 2 <= listed;
}
