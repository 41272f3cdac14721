import { addPrefixUses, type SentPrefixUses } from '../../prefixMessages.js';

/** Passes the prompt parts that hosts report as used on to the other hosts, once. */
export interface PrefixRelay {
  record: (host: string, uses: SentPrefixUses | undefined) => void;
  /** Takes the uses since the last round; returns those of other hosts for a host's view. */
  takeRound: () => (host: string) => SentPrefixUses | undefined;
}

const MAX_USES = 4096; // in a view: 20 KB, for 20,000 requests a second; further ones are dropped

/** Creates the relay of a new leader. */
export function createPrefixRelay(): PrefixRelay {
  let recorded = new Map<string, SentPrefixUses[]>();
  let count = 0;
  return {
    record: (host, uses) => {
      if (uses === undefined || count >= MAX_USES) return;
      count += Object.values(uses).reduce((sum, hashes) => sum + hashes.length, 0);
      recorded.set(host, [...(recorded.get(host) ?? []), uses]);
    },
    takeRound: () => {
      const round = recorded;
      recorded = new Map();
      count = 0;
      return (host) => {
        const all = new Map<string, number[]>();
        let total = 0;
        for (const [sender, reports] of round)
          if (sender !== host)
            for (const uses of reports)
              total = addPrefixUses(all, Object.entries(uses), total, MAX_USES);
        return total === 0 ? undefined : Object.fromEntries(all);
      };
    },
  };
}
