import type { RequestLimit } from '../../../decisions/limits/types.js';
import type { Clock } from '../../../ports/clock.js';
import type { SentRequestLimit } from '../../fleetMessages.js';
import { encodeRequestLimits } from '../../requestLimitMessages.js';

/** Passes the request limits of servers on to the hosts, whenever one has changed. */
export interface LimitFeed {
  /** Reads the limits for the views of one round. */
  update: () => void;
  /** Returns all limits for a host's view; undefined when the host has them already. */
  takeLimits: (host: string) => SentRequestLimit[] | undefined;
  /** Forgets what was sent to a host. */
  resetSent: (host: string) => void;
}

/** Creates the feed of a new leader. */
export function createLimitFeed(options: {
  clock: Clock;
  getLimits: () => ReadonlyMap<string, RequestLimit>;
}): LimitFeed {
  const { clock, getLimits } = options;
  const sentTexts = new Map<string, string>();
  let text = '';
  let encoded: SentRequestLimit[] = [];
  return {
    update: () => {
      const limits = getLimits();
      text = [...limits].map(([server, { perSecond }]) => `${server}:${perSecond}`).join();
      encoded = encodeRequestLimits(limits, clock.monotonicMs());
    },
    takeLimits: (host) => {
      if ((sentTexts.get(host) ?? '') === text) return undefined;
      sentTexts.set(host, text);
      return encoded;
    },
    resetSent: (host) => {
      sentTexts.delete(host);
    },
  };
}
