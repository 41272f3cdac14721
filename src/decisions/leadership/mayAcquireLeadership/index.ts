/** A process that may hold the command. */
export interface LeaderRecord {
  /** Host name. */
  holder: string;
  address: string;
  /** Changes with each start of the process. */
  incarnation: string;
}

/**
 * Tells whether a process may take the command: nobody holds it, or a process before this one at the
 * same address, which is gone, as this one has taken its ports. Load pattern: all hosts, or the
 * holder alone, are killed and start again within the lease.
 */
export function mayAcquireLeadership(held: LeaderRecord | undefined, own: LeaderRecord): boolean {
  if (held === undefined) return true;
  const isOwnAddress = held.holder === own.holder && held.address === own.address;
  return isOwnAddress && held.incarnation !== own.incarnation;
}
