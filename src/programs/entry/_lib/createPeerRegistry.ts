import { computeLendableBurst } from '../../../decisions/rate/convertTokens/index.js';
import type { Organisation } from '../../../decisions/bundle/types.js';
import { estimateLevel, type ReportedLevel } from '../../../decisions/rate/estimateLevel/index.js';
import type { LenderLevel } from '../../../decisions/rate/types.js';
import type { Clock } from '../../../ports/clock.js';
import type { Heartbeat } from '../../../ports/peers.js';

/** Time in milliseconds after a peer's last heartbeat in which it counts as alive. */
export const PEER_TIMEOUT_MS = 2500;

/** What the other entry hosts have said last. */
export interface PeerRegistry {
  recordHeartbeat: (heartbeat: Heartbeat) => void;
  /** Corrects a peer's level of an organisation by what it said after a loan. */
  recordLevel: (host: string, organisation: string, level: number) => void;
  /** Last heartbeats of peers that are alive. */
  listAlive: () => Heartbeat[];
  /** Moment of each peer's last heartbeat. */
  listContactTimes: () => Record<string, number>;
  /** Estimates what each live peer can lend of an organisation. */
  listLenders: (organisation: Organisation) => LenderLevel[];
  /** Adds up the requests in flight that peers have on each backend server. */
  getInFlight: () => ReadonlyMap<string, number>;
}

interface Page {
  heartbeat: Heartbeat;
  atMs: number;
  levels: Map<string, ReportedLevel>;
}

/** Creates an empty book of peers. */
export function createPeerRegistry(clock: Clock): PeerRegistry {
  const pages = new Map<string, Page>();
  let loads: ReadonlyMap<string, number> | undefined;

  const listAlivePages = (): Page[] => {
    const nowMs = clock.monotonicMs();
    return [...pages.values()].filter(({ atMs }) => nowMs - atMs <= PEER_TIMEOUT_MS);
  };

  const computeLoads = (): ReadonlyMap<string, number> => {
    const totals = new Map<string, number>();
    for (const { heartbeat } of listAlivePages())
      for (const [server, count] of Object.entries(heartbeat.inFlight))
        totals.set(server, (totals.get(server) ?? 0) + count);
    return totals;
  };

  return {
    recordHeartbeat: (heartbeat) => {
      const atMs = clock.monotonicMs();
      const levels = new Map(
        Object.entries(heartbeat.levels).map(([name, units]) => [name, { units, atMs }]),
      );
      pages.set(heartbeat.host, { heartbeat, atMs, levels });
      loads = undefined;
    },
    recordLevel: (host, organisation, level) => {
      pages.get(host)?.levels.set(organisation, { units: level, atMs: clock.monotonicMs() });
    },
    listAlive: () => listAlivePages().map(({ heartbeat }) => heartbeat),
    listContactTimes: () => Object.fromEntries([...pages].map(([host, { atMs }]) => [host, atMs])),
    listLenders: ({ name, rate, burst }) => {
      const nowMs = clock.monotonicMs();
      return listAlivePages().flatMap(({ heartbeat, levels }): LenderLevel[] => {
        const known = levels.get(name);
        if (known === undefined || heartbeat.slots === 0) return [];
        const shape = { rate, burst: computeLendableBurst(rate, burst), slots: heartbeat.slots };
        const units = estimateLevel(known, shape, nowMs);
        return [{ host: heartbeat.host, units }];
      });
    },
    getInFlight: () => {
      loads ??= computeLoads();
      return loads;
    },
  };
}
