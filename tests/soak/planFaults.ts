import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { EngineFate } from '../support/platformEngine.js';
import { StoreMood } from '../support/platformStore.js';
import { ProxyMode } from './startProxy.js';
import { FaultKind, type Fault } from './types.js';

/** Options of a plan. */
export interface PlanFaultsOptions {
  seed: number;
  /** Time in which faults begin. */
  lengthMs: number;
  hosts: number;
  engines: number;
  /** Mean pause between two faults; 700 ms by default, so that several overlap. */
  pauseMs?: number;
}

const LEAST_MS = 300;
const MOST_MS = 4000; // above the lease of a host and the time of a handover together
const SERIES_SHARE = 0.25; // of the faults come again on the same target, shortly after
const SERIES_PAUSE_MS = 600;

const LINK_MOODS = [
  ProxyMode.delay,
  ProxyMode.silent,
  ProxyMode.silentUp,
  ProxyMode.silentDown,
  ProxyMode.reset,
];

/** Variants by kind; a kind is drawn as often as it has variants, three times at most. */
const VARIANTS: Readonly<Record<FaultKind, readonly string[]>> = {
  [FaultKind.kill]: ['', ''],
  [FaultKind.killAll]: [''],
  [FaultKind.stop]: ['', '', ''],
  [FaultKind.pause]: ['', ''],
  [FaultKind.reload]: [''],
  [FaultKind.clock]: ['ahead', 'back'],
  [FaultKind.storeLink]: LINK_MOODS,
  [FaultKind.peerLink]: LINK_MOODS,
  [FaultKind.engineLink]: LINK_MOODS,
  [FaultKind.store]: [
    StoreMood.busy,
    StoreMood.silent,
    StoreMood.lost,
    StoreMood.late,
    StoreMood.slow,
  ],
  [FaultKind.compact]: [''],
  [FaultKind.engineRestart]: [''],
  [FaultKind.engineDrain]: [''],
  [FaultKind.engineFailure]: [
    EngineFate.refuse,
    EngineFate.lose,
    EngineFate.cut,
    EngineFate.foreign,
    EngineFate.unsigned,
    EngineFate.extra,
    EngineFate.hang,
    EngineFate.error,
  ],
  [FaultKind.lateOrders]: [''],
  [FaultKind.configuration]: ['', '', ''],
};
const MOST_WEIGHT = 3;

/** Plans the faults of a seed; the same options give the same plan. */
export function planFaults(options: PlanFaultsOptions): Fault[] {
  const { seed, lengthMs, hosts, engines, pauseMs = 700 } = options;
  const generator = xoroshiro128plus(seed);
  const draw = (): number => uniformFloat64(generator);
  const pick = <T>(list: readonly T[]): T => list[uniformInt(generator, 0, list.length - 1)] as T;
  const kinds = Object.values(FaultKind).flatMap((kind) =>
    VARIANTS[kind].slice(0, MOST_WEIGHT).map(() => kind),
  );
  const faults: Fault[] = [];
  for (let atMs = draw() * pauseMs; atMs < lengthMs; atMs += -Math.log(1 - draw()) * pauseMs) {
    const kind = pick(kinds);
    const isEngine = kind.startsWith('engine') || kind === FaultKind.lateOrders;
    const target = uniformInt(generator, 0, (isEngine ? engines : hosts) - 1);
    const forMs = LEAST_MS + draw() ** 2 * (MOST_MS - LEAST_MS);
    const fault = { kind, atMs, forMs, target, how: pick(VARIANTS[kind]) };
    faults.push(fault);
    if (draw() < SERIES_SHARE) faults.push({ ...fault, atMs: atMs + forMs + SERIES_PAUSE_MS });
  }
  return faults.sort((one, other) => one.atMs - other.atMs);
}
