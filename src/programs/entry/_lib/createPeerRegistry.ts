import { computeLendableBurst } from '../../../decisions/rate/convertTokens/index.js';
import type { Organisation } from '../../../decisions/bundle/types.js';
import { estimateLevel, type ReportedLevel } from '../../../decisions/rate/estimateLevel/index.js';
import type { LenderLevel } from '../../../decisions/rate/types.js';
import type { Clock } from '../../../ports/clock.js';
import type { Heartbeat } from '../../../ports/peers.js';

/** Milliseconds without a heartbeat after which a peer no longer counts as alive. */
export const PEER_TIMEOUT_MS = 2500;

/** Last heartbeats of the other entry hosts. */
export interface PeerRegistry {
  recordHeartbeat: (heartbeat: Heartbeat) => void;
  /** Updates the level of a peer's token bucket of an organisation with the one in its loan reply. */
  recordLevel: (host: string, organisation: string, level: number) => void;
  /** Returns the last heartbeats of the live peers. */
  listAlive: () => Heartbeat[];
  /** Returns the time of each peer's last heartbeat. */
  listContactTimes: () => Record<string, number>;
  /** Estimates the units that each live peer can lend from its token bucket of an organisation. */
  listLenders: (organisation: Organisation) => LenderLevel[];
  /** Returns the requests in flight of all live peers, by backend server. */
  getInFlight: () => ReadonlyMap<string, number>;
}

/** Last state of one peer. */
interface PeerRecord {
  heartbeat: Heartbeat;
  atMs: number;
  levels: Map<string, ReportedLevel>;
}

/** Creates an empty registry of peers. */
export function createPeerRegistry(clock: Clock): PeerRegistry {
  const peers = new Map<string, PeerRecord>();
  let cachedInFlight: ReadonlyMap<string, number> | undefined;

  const listAliveRecords = (): PeerRecord[] => {
    const nowMs = clock.monotonicMs();
    return [...peers.values()].filter(({ atMs }) => nowMs - atMs <= PEER_TIMEOUT_MS);
  };

  const computeInFlight = (): ReadonlyMap<string, number> => {
    const totals = new Map<string, number>();
    for (const { heartbeat } of listAliveRecords())
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
      peers.set(heartbeat.host, { heartbeat, atMs, levels });
      cachedInFlight = undefined;
    },
    recordLevel: (host, organisation, level) => {
      peers.get(host)?.levels.set(organisation, { units: level, atMs: clock.monotonicMs() });
    },
    listAlive: () => listAliveRecords().map(({ heartbeat }) => heartbeat),
    listContactTimes: () => Object.fromEntries([...peers].map(([host, { atMs }]) => [host, atMs])),
    listLenders: ({ name, rate, burst }) => {
      const nowMs = clock.monotonicMs();
      return listAliveRecords().flatMap(({ heartbeat, levels }): LenderLevel[] => {
        const reported = levels.get(name);
        if (reported === undefined || heartbeat.slots === 0) return [];
        const parameters = {
          rate,
          burst: computeLendableBurst(rate, burst),
          slots: heartbeat.slots,
        };
        const units = estimateLevel(reported, parameters, nowMs);
        return [{ host: heartbeat.host, units }];
      });
    },
    getInFlight: () => {
      cachedInFlight ??= computeInFlight();
      return cachedInFlight;
    },
  };
}
