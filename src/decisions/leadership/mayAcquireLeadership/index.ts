/** The leader process as it is recorded in the store. */
export interface LeaderRecord {
  /** Host name. */
  holder: string;
  address: string;
  /** Changes with each start of the process. */
  incarnation: string;
}

/**
 * Checks whether a process may become the leader: there is none, or the recorded leader is an earlier
 * process of the same host and address. That process has ended, as this one has bound its ports. This
 * covers all hosts, or only the leader, being killed and restarted before the lease expires.
 */
export function mayAcquireLeadership(
  current: LeaderRecord | undefined,
  own: LeaderRecord,
): boolean {
  if (current === undefined) return true;
  const isOwnAddress = current.holder === own.holder && current.address === own.address;
  return isOwnAddress && current.incarnation !== own.incarnation;
}
