import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { createRateLimiter, type RateLimiter } from '#dist/coordination/createRateLimiter/index.js';
import { LOAN_DEADLINE_MS, SLOT_COUNT } from '#dist/decisions/rate/constants/index.js';
import { computeLendableBurst, toUnits } from '#dist/decisions/rate/convertTokens/index.js';
import { estimateLevel, type ReportedLevel } from '#dist/decisions/rate/estimateLevel/index.js';
import type { BucketParameters, LenderLevel } from '#dist/decisions/rate/types.js';
import { createVirtualTime, type VirtualTime } from './virtualTime.js';

const HOSTS = 8;
const RATE = 10_000;
const BURST = 40_000;
const DEFAULT_SECONDS = 40;
const DEADLINE_MS = 1000;
const MESSAGE_MS = 1.5;
const HEARTBEAT_MS = 500;
const SEED = 21;

interface Arrival {
  atMs: number;
  host: number;
  reserved: number;
  used: number;
  /** Milliseconds after which the true figure is known. */
  durationMs: number;
}

interface Scenario {
  name: string;
  /** Offered load against the rate. */
  load: number;
  /** Largest reservation in tokens. */
  largest: number;
  /** Length in seconds; 40 by default. */
  seconds?: number;
  pickHost: (atMs: number, random: () => number) => number;
  /** Moment at which a host is killed or stopped, and when it is back. */
  gone?: { host: number; fromMs: number; toMs: number; keepsLevels: boolean };
}

const anyHost = (_atMs: number, random: () => number): number => Math.floor(random() * HOSTS);

const scenarios: Scenario[] = [
  { name: 'even', load: 1.2, largest: 400, pickHost: anyHost },
  { name: 'all on one host', load: 1.2, largest: 400, pickHost: () => 0 },
  {
    name: 'moving from host to host',
    load: 1.2,
    largest: 400,
    pickHost: (atMs) => Math.floor(atMs / 5000) % HOSTS,
  },
  { name: 'at four times the rate', load: 4, largest: 400, pickHost: anyHost },
  {
    name: 'large requests near the burst',
    load: 1.2,
    largest: 36_000,
    seconds: 1000,
    pickHost: anyHost,
  },
  {
    name: 'a host killed and back after 10 s',
    load: 1.2,
    largest: 400,
    pickHost: (atMs, random) =>
      atMs < 20_000 || atMs > 30_000
        ? anyHost(atMs, random)
        : 1 + Math.floor(random() * (HOSTS - 1)),
    gone: { host: 0, fromMs: 20_000, toMs: 30_000, keepsLevels: false },
  },
  {
    name: 'a planned restart',
    load: 1.2,
    largest: 400,
    pickHost: (atMs, random) =>
      atMs < 20_000 || atMs > 23_000
        ? anyHost(atMs, random)
        : 1 + Math.floor(random() * (HOSTS - 1)),
    gone: { host: 0, fromMs: 20_000, toMs: 23_000, keepsLevels: true },
  },
];

function buildArrivals({
  load,
  largest,
  seconds = DEFAULT_SECONDS,
  pickHost,
}: Scenario): Arrival[] {
  const generator = xoroshiro128plus(SEED);
  const random = (): number => uniformFloat64(generator);
  const arrivals: Arrival[] = [];
  let atMs = 0;
  while (atMs < seconds * 1000) {
    const reserved = 1 + Math.floor(largest * random());
    const used = Math.max(1, Math.floor(reserved * (0.3 + 0.7 * random())));
    arrivals.push({
      atMs,
      host: pickHost(atMs, random),
      reserved,
      used,
      durationMs: 50 + 1500 * random(),
    });
    atMs += -Math.log(1 - random()) * ((used * 1000) / (RATE * load));
  }
  return arrivals;
}

interface Outcome {
  admitted: number;
  requests: number;
  /** Most tokens above burst and rate in any window; negative when always below. */
  excess: number;
}

/** Finds the most true tokens above the bound in any window, by the largest prefix difference. */
function findExcess(admitted: readonly { atMs: number; used: number }[]): number {
  let sum = 0;
  let lowest = Infinity;
  let worst = -Infinity;
  for (const { atMs, used } of admitted) {
    const before = sum - (RATE * atMs) / 1000;
    lowest = Math.min(lowest, before);
    sum += used;
    worst = Math.max(worst, sum - (RATE * atMs) / 1000 - lowest - BURST);
  }
  return worst;
}

async function sendArrivals(
  time: VirtualTime,
  arrivals: readonly Arrival[],
  limiters: readonly RateLimiter[],
): Promise<Outcome> {
  const admitted: { atMs: number; used: number }[] = [];
  const send = async ({ host, reserved, used, durationMs }: Arrival): Promise<void> => {
    const limiter = limiters[host % limiters.length];
    const deadlineAtMs = time.clock.monotonicMs() + DEADLINE_MS;
    const result = await limiter?.admit({ organisation: 'o', tokens: reserved, deadlineAtMs });
    if (result?.admitted !== true) return;
    admitted.push({ atMs: time.clock.monotonicMs(), used });
    await time.wait(durationMs);
    result.admission.settle(used);
  };
  for (const arrival of arrivals) {
    await time.runUntil(arrival.atMs);
    void send(arrival);
  }
  await time.runUntil((arrivals.at(-1)?.atMs ?? 0) + 5000);
  return {
    admitted: admitted.reduce((sum, { used }) => sum + used, 0),
    requests: admitted.length,
    excess: findExcess(admitted),
  };
}

interface FleetOptions {
  lends: boolean;
  /** Burst that the buckets share. */
  burst: number;
  hosts: number;
}

function listOthers(
  levels: readonly ReportedLevel[],
  own: number,
  shape: BucketParameters,
  nowMs: number,
): LenderLevel[] {
  return levels.flatMap((level, host) =>
    host === own ? [] : [{ host: String(host), units: estimateLevel(level, shape, nowMs) }],
  );
}

function buildLimiters(
  time: VirtualTime,
  { lends, burst, hosts }: FleetOptions,
  endAtMs: number,
): RateLimiter[] {
  const limiters: RateLimiter[] = [];
  let count = 0;
  const known = new Map<number, ReportedLevel[]>();
  const levelsOf = (asker: number): ReportedLevel[] => known.get(asker) ?? [];
  const slots = SLOT_COUNT / hosts;
  const shape = { rate: RATE, burst: computeLendableBurst(RATE, burst), slots };
  for (let index = 0; index < hosts; index += 1) {
    const limiter = createRateLimiter({
      clock: time.clock,
      wait: time.wait,
      createId: () => String(++count),
      listLenders: () =>
        lends ? listOthers(levelsOf(index), index, shape, time.clock.monotonicMs()) : [],
      requestLoan: async (host, request) => {
        await time.wait(MESSAGE_MS);
        const reply = limiters[Number(host)]?.grantLoan(request);
        await time.wait(MESSAGE_MS);
        if (reply !== undefined)
          levelsOf(index)[Number(host)] = { units: reply.level, atMs: time.clock.monotonicMs() };
        return reply;
      },
      sendSettlement: (host, settlement) =>
        void time.wait(MESSAGE_MS).then(() => limiters[Number(host)]?.settleLoan(settlement)),
    });
    // The limiter lowers the burst for loans in flight; one bucket alone has none in flight.
    limiter.setOrganisations([{ name: 'o', rate: RATE, burst }]);
    limiter.setLeaseExpiry(Infinity);
    limiter.addSlots(slots, {
      o: (toUnits(computeLendableBurst(RATE, burst)) * slots) / SLOT_COUNT,
    });
    limiters.push(limiter);
  }
  const beat = async (): Promise<void> => {
    for (;;) {
      const atMs = time.clock.monotonicMs();
      const heard = limiters.map(({ getLevels }) => ({ units: getLevels().o ?? 0, atMs }));
      limiters.forEach((_limiter, index) => known.set(index, [...heard]));
      await time.wait(HEARTBEAT_MS);
      if (time.clock.monotonicMs() > endAtMs) return;
    }
  };
  void beat();
  return limiters;
}

async function takeAway(
  time: VirtualTime,
  limiters: readonly RateLimiter[],
  gone: NonNullable<Scenario['gone']>,
): Promise<void> {
  const limiter = limiters[gone.host];
  await time.wait(gone.fromMs);
  const slots = limiter?.countSlots() ?? 0;
  const units = limiter?.releaseSlots(slots) ?? {};
  await time.wait(gone.toMs - gone.fromMs);
  limiter?.addSlots(slots, gone.keepsLevels ? units : {});
}

async function runFleet(scenario: Scenario, options: FleetOptions): Promise<Outcome> {
  const time = createVirtualTime();
  const arrivals = buildArrivals(scenario);
  const limiters = buildLimiters(time, options, arrivals.at(-1)?.atMs ?? 0);
  if (scenario.gone !== undefined && options.hosts > 1)
    void takeAway(time, limiters, scenario.gone);
  return sendArrivals(time, arrivals, limiters);
}

/** What one scenario came to, against one ideal central bucket. */
export interface WrongfulRefusalRow {
  scenario: string;
  idealTokens: number;
  lending: number;
  /** Admitted requests against the ideal bucket's. */
  lendingRequests: number;
  staticSplit: number;
  /** Tokens above the bound in the worst window; never above 0. */
  excess: number;
}

/** Measures admitted tokens of eight hosts against one ideal bucket, in virtual time. */
export async function measureWrongfulRefusals(only = ''): Promise<WrongfulRefusalRow[]> {
  const rows: WrongfulRefusalRow[] = [];
  const inFlight = (RATE * LOAN_DEADLINE_MS) / 1000;
  for (const scenario of scenarios.filter(({ name }) => name.includes(only))) {
    const ideal = await runFleet(scenario, { lends: false, burst: BURST + inFlight, hosts: 1 });
    const lending = await runFleet(scenario, { lends: true, burst: BURST, hosts: HOSTS });
    const split = await runFleet(scenario, { lends: false, burst: BURST, hosts: HOSTS });
    rows.push({
      scenario: scenario.name,
      idealTokens: ideal.admitted,
      lending: lending.admitted / ideal.admitted,
      lendingRequests: lending.requests / ideal.requests,
      staticSplit: split.admitted / ideal.admitted,
      excess: lending.excess,
    });
  }
  return rows;
}
