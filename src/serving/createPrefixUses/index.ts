import type { Clock } from '../../ports/clock.js';
import { addPrefixUses, type SentPrefixUses } from '../prefixMessages.js';

/** Uses of prompt parts: those of this host for its reports, and how often each part is used. */
export interface PrefixUses {
  /** Records that this host sends a request with these parts to a server. */
  recordOwn: (server: string, hashes: readonly number[]) => void;
  /** Records uses by other hosts. */
  recordRemote: (hashes: readonly number[]) => void;
  /** Returns the uses of this host since the last call; undefined when none are reported. */
  takeOwn: () => SentPrefixUses | undefined;
  /** Estimates the uses of a part in a millisecond. */
  getRate: (hash: number) => number;
  /** Milliseconds since the last uses by other hosts arrived; Infinity before. */
  getRemoteAgeMs: () => number;
}

const RATE_SPAN_MS = 3000; // long enough for a few uses of a prefix in demand, short for a new one
const MAX_PARTS = 8192; // bounds the memory; parts beyond it, the least recently used, count as unused

/** Options of the uses. */
export interface PrefixUsesOptions {
  clock: Clock;
  /** Uses in one report at most; 0, for no reports, by default. */
  maximumReported?: number;
}

/** Creates the uses of a host that has sent nothing yet. */
export function createPrefixUses({ clock, maximumReported = 0 }: PrefixUsesOptions): PrefixUses {
  /** Decaying number of uses of each part, the least recently used first. */
  const counts = new Map<number, { count: number; atMs: number }>();
  let own = new Map<string, number[]>();
  let ownCount = 0;
  let remoteAtMs = -Infinity;
  const decay = ({ count, atMs }: { count: number; atMs: number }, nowMs: number): number =>
    count * Math.exp((atMs - nowMs) / RATE_SPAN_MS);
  const add = (hashes: readonly number[]): void => {
    const nowMs = clock.monotonicMs();
    for (const hash of hashes) {
      const older = counts.get(hash);
      counts.delete(hash);
      counts.set(hash, { count: 1 + (older === undefined ? 0 : decay(older, nowMs)), atMs: nowMs });
    }
    for (const hash of counts.keys()) {
      if (counts.size <= MAX_PARTS) break;
      counts.delete(hash);
    }
  };
  return {
    recordOwn: (server, hashes) => {
      add(hashes);
      // Without a leader nobody takes them.
      ownCount = addPrefixUses(own, [[server, hashes]], ownCount, maximumReported);
    },
    recordRemote: (hashes) => {
      if (hashes.length > 0) remoteAtMs = clock.monotonicMs();
      add(hashes);
    },
    takeOwn: () => {
      if (ownCount === 0) return undefined;
      const taken = Object.fromEntries(own);
      own = new Map();
      ownCount = 0;
      return taken;
    },
    getRate: (hash) => {
      const use = counts.get(hash);
      return use === undefined ? 0 : decay(use, clock.monotonicMs()) / RATE_SPAN_MS;
    },
    getRemoteAgeMs: () => clock.monotonicMs() - remoteAtMs,
  };
}
