import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { createRateLimiter, type RateLimiter } from '#dist/coordination/createRateLimiter/index.js';
import { LOAN_DEADLINE_MS, SLOT_COUNT } from '#dist/decisions/rate/constants/index.js';
import { computeLendableBurst, toUnits } from '#dist/decisions/rate/convertTokens/index.js';
import { estimateLevel, type ReportedLevel } from '#dist/decisions/rate/estimateLevel/index.js';
import type { BucketParameters, LenderLevel } from '#dist/decisions/rate/types.js';
import { createVirtualTime, type VirtualTime } from './virtualTime.js';

const HOSTS = 8;
const RATE = 10_000; // tokens per second
const BURST = 40_000; // tokens
const DEFAULT_SECONDS = 40;
const ADMISSION_TIMEOUT_MS = 1000;
const MESSAGE_LATENCY_MS = 1.5;
const HEARTBEAT_INTERVAL_MS = 500;
const SEED = 21;

interface Arrival {
  atMs: number;
  host: number;
  reserved: number;
  used: number;
  /** Milliseconds until the number of used tokens is known. */
  durationMs: number;
}

interface Scenario {
  name: string;
  /** Offered load relative to the rate. */
  load: number;
  /** Largest reservation in tokens. */
  largestReservation: number;
  /** Length in seconds; 40 by default. */
  seconds?: number;
  pickHost: (atMs: number, random: () => number) => number;
  /** When a host is killed or stopped and when it is back; a planned stop keeps its levels. */
  outage?: { host: number; fromMs: number; toMs: number; keepsLevels: boolean };
}

const anyHost = (_atMs: number, random: () => number): number => Math.floor(random() * HOSTS);

const scenarios: Scenario[] = [
  { name: 'even', load: 1.2, largestReservation: 400, pickHost: anyHost },
  { name: 'all on one host', load: 1.2, largestReservation: 400, pickHost: () => 0 },
  {
    name: 'moving from host to host',
    load: 1.2,
    largestReservation: 400,
    pickHost: (atMs) => Math.floor(atMs / 5000) % HOSTS,
  },
  { name: 'at four times the rate', load: 4, largestReservation: 400, pickHost: anyHost },
  {
    name: 'large requests near the burst',
    load: 1.2,
    largestReservation: 36_000,
    seconds: 1000,
    pickHost: anyHost,
  },
  {
    name: 'a host killed and back after 10 s',
    load: 1.2,
    largestReservation: 400,
    pickHost: (atMs, random) =>
      atMs < 20_000 || atMs > 30_000
        ? anyHost(atMs, random)
        : 1 + Math.floor(random() * (HOSTS - 1)),
    outage: { host: 0, fromMs: 20_000, toMs: 30_000, keepsLevels: false },
  },
  {
    name: 'a planned restart',
    load: 1.2,
    largestReservation: 400,
    pickHost: (atMs, random) =>
      atMs < 20_000 || atMs > 23_000
        ? anyHost(atMs, random)
        : 1 + Math.floor(random() * (HOSTS - 1)),
    outage: { host: 0, fromMs: 20_000, toMs: 23_000, keepsLevels: true },
  },
];

function buildArrivals({
  load,
  largestReservation,
  seconds = DEFAULT_SECONDS,
  pickHost,
}: Scenario): Arrival[] {
  const generator = xoroshiro128plus(SEED);
  const random = (): number => uniformFloat64(generator);
  const arrivals: Arrival[] = [];
  let atMs = 0;
  while (atMs < seconds * 1000) {
    const reserved = 1 + Math.floor(largestReservation * random());
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
  /** Highest number of tokens above burst and rate in any window; negative when always below. */
  excess: number;
}

/** Finds the highest number of used tokens above the limit in any window, by the largest difference of prefix sums. */
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
    const deadlineAtMs = time.clock.monotonicMs() + ADMISSION_TIMEOUT_MS;
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
  /** Burst that is split among the hosts' token buckets. */
  burst: number;
  hosts: number;
}

function listOthers(
  levels: readonly ReportedLevel[],
  own: number,
  parameters: BucketParameters,
  nowMs: number,
): LenderLevel[] {
  return levels.flatMap((level, host) =>
    host === own ? [] : [{ host: String(host), units: estimateLevel(level, parameters, nowMs) }],
  );
}

function buildLimiters(
  time: VirtualTime,
  { lends, burst, hosts }: FleetOptions,
  endAtMs: number,
): RateLimiter[] {
  const limiters: RateLimiter[] = [];
  let count = 0;
  const reportedLevels = new Map<number, ReportedLevel[]>();
  const getLevelsSeenBy = (borrower: number): ReportedLevel[] => reportedLevels.get(borrower) ?? [];
  const slots = SLOT_COUNT / hosts;
  const parameters = { rate: RATE, burst: computeLendableBurst(RATE, burst), slots };
  for (let index = 0; index < hosts; index += 1) {
    const limiter = createRateLimiter({
      clock: time.clock,
      wait: time.wait,
      createId: () => String(++count),
      listLenders: () =>
        lends
          ? listOthers(getLevelsSeenBy(index), index, parameters, time.clock.monotonicMs())
          : [],
      requestLoan: async (host, request) => {
        await time.wait(MESSAGE_LATENCY_MS);
        const reply = limiters[Number(host)]?.grantLoan(request);
        await time.wait(MESSAGE_LATENCY_MS);
        if (reply !== undefined)
          getLevelsSeenBy(index)[Number(host)] = {
            units: reply.level,
            atMs: time.clock.monotonicMs(),
          };
        return reply;
      },
      sendSettlement: (host, settlement) =>
        void time
          .wait(MESSAGE_LATENCY_MS)
          .then(() => limiters[Number(host)]?.settleLoan(settlement)),
    });
    // The limiter lowers the burst by the loans that can be in flight; a single bucket grants none.
    limiter.setOrganisations([{ name: 'o', rate: RATE, burst }]);
    limiter.setLeaseExpiry(Infinity);
    limiter.addSlots(slots, {
      o: (toUnits(computeLendableBurst(RATE, burst)) * slots) / SLOT_COUNT,
    });
    limiters.push(limiter);
  }
  const sendHeartbeats = async (): Promise<void> => {
    for (;;) {
      const atMs = time.clock.monotonicMs();
      const currentLevels = limiters.map(({ getLevels }) => ({ units: getLevels().o ?? 0, atMs }));
      limiters.forEach((_limiter, index) => reportedLevels.set(index, [...currentLevels]));
      await time.wait(HEARTBEAT_INTERVAL_MS);
      if (time.clock.monotonicMs() > endAtMs) return;
    }
  };
  void sendHeartbeats();
  return limiters;
}

async function runOutage(
  time: VirtualTime,
  limiters: readonly RateLimiter[],
  outage: NonNullable<Scenario['outage']>,
): Promise<void> {
  const limiter = limiters[outage.host];
  await time.wait(outage.fromMs);
  const slots = limiter?.countSlots() ?? 0;
  const units = limiter?.releaseSlots(slots) ?? {};
  await time.wait(outage.toMs - outage.fromMs);
  limiter?.addSlots(slots, outage.keepsLevels ? units : {});
}

async function runFleet(scenario: Scenario, options: FleetOptions): Promise<Outcome> {
  const time = createVirtualTime();
  const arrivals = buildArrivals(scenario);
  const limiters = buildLimiters(time, options, arrivals.at(-1)?.atMs ?? 0);
  if (scenario.outage !== undefined && options.hosts > 1)
    void runOutage(time, limiters, scenario.outage);
  return sendArrivals(time, arrivals, limiters);
}

/** Result of one scenario, relative to one ideal central token bucket. */
export interface WrongfulRefusalRow {
  scenario: string;
  idealTokens: number;
  /** Admitted tokens relative to the ideal bucket, when hosts grant each other loans. */
  lending: number;
  /** Admitted requests relative to the ideal bucket. */
  lendingRequests: number;
  /** Admitted tokens relative to the ideal bucket, without loans. */
  staticSplit: number;
  /** Tokens above the limit in the worst window; must never be above 0. */
  excess: number;
}

/** Compares the admitted tokens of eight hosts with those of one ideal token bucket, in virtual time. */
export async function measureWrongfulRefusals(only = ''): Promise<WrongfulRefusalRow[]> {
  const rows: WrongfulRefusalRow[] = [];
  const loanTokensInFlight = (RATE * LOAN_DEADLINE_MS) / 1000;
  for (const scenario of scenarios.filter(({ name }) => name.includes(only))) {
    const ideal = await runFleet(scenario, {
      lends: false,
      burst: BURST + loanTokensInFlight,
      hosts: 1,
    });
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
