import { createHash } from 'node:crypto';

/** Hashes a key and a member for rendezvous hashing: the member with the largest value wins. */
export function hashRendezvous(key: string, member: string): number {
  return createHash('md5').update(key).update('\0').update(member).digest().readUInt32BE(0);
}
