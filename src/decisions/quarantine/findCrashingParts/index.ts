import type { PartGroup, ServerCrash } from '../types.js';

/** Crashes that must share a part before the part is suspected. */
export interface FindCrashingPartsOptions {
  /** Servers that crashed with a part that no request was ever answered for. */
  minCrashes?: number;
  /** Separate moments at which servers crashed with a part since it was last served. */
  minMomentsAfterServed?: number;
}

/** Crashes within this time count as one moment, as one cause may end many servers at once. */
const MOMENT_MS = 1000;

/** Crashes with one part since it was last served. */
interface Evidence {
  part: string;
  crashes: ServerCrash[];
  wasServed: boolean;
}

function countMoments(crashes: readonly ServerCrash[]): number {
  const times = crashes.map(({ atMs }) => atMs).sort((one, other) => one - other);
  return times.reduce<{ count: number; startMs: number }>(
    ({ count, startMs }, atMs) =>
      atMs - startMs < MOMENT_MS ? { count, startMs } : { count: count + 1, startMs: atMs },
    { count: 0, startMs: -Infinity },
  ).count;
}

function countServers(crashes: readonly ServerCrash[]): number {
  return new Set(crashes.map(({ server }) => server)).size;
}

function collectEvidence(
  crashes: readonly ServerCrash[],
  lastServedAtMs: ReadonlyMap<string, number>,
): Evidence[] {
  const byPart = new Map<string, ServerCrash[]>();
  for (const crash of crashes)
    for (const part of crash.parts) {
      if (crash.atMs <= (lastServedAtMs.get(part) ?? -Infinity)) continue;
      const list = byPart.get(part);
      if (list === undefined) byPart.set(part, [crash]);
      else list.push(crash);
    }
  return [...byPart].map(([part, list]) => ({
    part,
    crashes: list,
    wasServed: lastServedAtMs.has(part),
  }));
}

/** Puts parts that were never served first, then those in the crashes of most servers. */
function compareEvidence(one: Evidence, other: Evidence): number {
  if (one.wasServed !== other.wasServed) return one.wasServed ? 1 : -1;
  return countServers(other.crashes) - countServers(one.crashes);
}

/**
 * Finds the prompt parts that best explain why servers crashed: one that was never served and was in
 * two crashes, or one that was not served again after crashes at three separate moments. Each crash
 * is explained once, so that parts which are common among all requests are not blamed for it too.
 * Answers a prompt part that crashes every server, among sound requests that share its other parts.
 */
export function findCrashingParts(
  crashes: readonly ServerCrash[],
  lastServedAtMs: ReadonlyMap<string, number>,
  options: FindCrashingPartsOptions = {},
): PartGroup[] {
  const { minCrashes = 2, minMomentsAfterServed = 3 } = options;
  const isSufficient = ({ crashes: list, wasServed }: Evidence): boolean =>
    wasServed ? countMoments(list) >= minMomentsAfterServed : countServers(list) >= minCrashes;
  const evidence = collectEvidence(crashes, lastServedAtMs).filter(isSufficient);
  const [strongest] = evidence.sort(compareEvidence);
  if (strongest === undefined) return [];
  const group: PartGroup = {
    parts: evidence
      .filter(
        (item) =>
          item.wasServed === strongest.wasServed &&
          item.crashes.length === strongest.crashes.length &&
          item.crashes.every((crash) => strongest.crashes.includes(crash)),
      )
      .map(({ part }) => part),
    crashes: countServers(strongest.crashes),
    lastCrashAtMs: Math.max(...strongest.crashes.map(({ atMs }) => atMs)),
    wasServed: strongest.wasServed,
  };
  const unexplained = crashes.filter((crash) => !crash.parts.has(strongest.part));
  return [group, ...findCrashingParts(unexplained, lastServedAtMs, options)];
}
