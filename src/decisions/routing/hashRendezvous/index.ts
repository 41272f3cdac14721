import { createHash } from 'node:crypto';

/** Computes the rendezvous hash of a key and a member; the member with the largest hash is selected. */
export function hashRendezvous(key: string, member: string): number {
  return createHash('md5').update(key).update('\0').update(member).digest().readUInt32BE(0);
}
