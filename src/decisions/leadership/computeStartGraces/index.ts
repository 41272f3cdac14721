import { isFastLink } from '../computeElectionDelayMs/index.js';

/** A host that has just started. */
export interface StartingHost {
  /** Whether the whole fleet starts for the first time, before callers come. */
  isFirstStart: boolean;
  linkMbps: number;
  /** Random number in [0, 1). */
  random: number;
}

/** Milliseconds for which a starting host waits for a leader before it reads the store itself. */
export interface StartGraces {
  /** Before it reads the configuration and the servers. */
  changesMs: number;
  /** Before it reads who leads, and may run for leader. */
  leadershipMs: number;
}

/** Shortest waits in milliseconds, and the random parts that are added to them. */
interface WaitLimits {
  changesMs: number;
  changesSpreadMs: number;
  fastLinkSpreadMs: number;
  slowLinkSpreadMs: number;
}

// Registration, election and the leader's connections take most of the wait at the first start.
const FIRST_START: WaitLimits = {
  changesMs: 1500,
  changesSpreadMs: 1000,
  fastLinkSpreadMs: 500,
  slowLinkSpreadMs: 1000,
};
// Callers are waiting: the store answers sooner than a leader that has to be found first.
const RESTART: WaitLimits = {
  changesMs: 0,
  changesSpreadMs: 100,
  fastLinkSpreadMs: 100,
  slowLinkSpreadMs: 500,
};

/**
 * Computes how long a starting host waits for a leader. Answers the load of hundreds of hosts that
 * start at one moment: the waits are spread, and hosts with fast links run for leader first, so that
 * most hosts are fed before they read the store. After a restart, when callers are waiting, a host
 * reads the configuration and the servers at once, two calls of its own, and waits only to run for leader.
 */
export function computeStartGraces({ isFirstStart, linkMbps, random }: StartingHost): StartGraces {
  const limits = isFirstStart ? FIRST_START : RESTART;
  return {
    changesMs: limits.changesMs + random * limits.changesSpreadMs,
    leadershipMs: isFastLink(linkMbps)
      ? random * limits.fastLinkSpreadMs
      : limits.fastLinkSpreadMs + random * limits.slowLinkSpreadMs,
  };
}
