import fc from 'fast-check';
import t from 'tap';
import { dropDeadHolders } from '../../slots/dropDeadHolders/index.js';
import { releaseSlots } from '../../slots/releaseSlots/index.js';
import { createSlotAllocation, takeSlots } from '../../slots/takeSlots/index.js';
import { chargeBucket } from '../chargeBucket/index.js';
import { computeLevel } from '../computeLevel/index.js';
import { LOAN_DEADLINE_MS, UNITS_PER_TOKEN } from '../constants/index.js';
import { computeLendableBurst } from '../convertTokens/index.js';
import { createBucket } from '../createBucket/index.js';
import { releaseBucketSlots, setBucketParameters } from '../setBucketParameters/index.js';
import { settleCharge } from '../settleCharge/index.js';
import type { Bucket } from '../types.js';
import { grantLoan } from './index.js';

const burst = 400;
const hosts = [0, 1, 2];
const startSlots = [32, 16, 16];

const host = fc.constantFrom(...hosts);
const slots = fc.integer({ min: 1, max: 30 });
const step = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('advance' as const),
      ms: fc.oneof(fc.nat(5), fc.nat(60)),
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('spend' as const),
      host,
      /** Quarters of all that host and lenders have. */
      quarters: fc.integer({ min: 1, max: 4 }),
      /** Quarters of the charge that turn out not to be used. */
      saved: fc.constantFrom(0, 0, 0, 1, 3, 4),
      borrows: fc.boolean(),
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('deliver' as const),
      count: fc.integer({ min: 1, max: 8 }),
      isLastFirst: fc.boolean(),
      isDoubled: fc.boolean(),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('lose' as const) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('crash' as const), host }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('move' as const), host, slots }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('take' as const), host, slots }) },
);
type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;
type Message = () => void;

const holder = (index: number, incarnation: string) => ({
  host: String(index),
  endpoint: String(index),
  incarnation,
});

/** Replays steps on a small fleet and returns what was admitted, with the true figures. */
function replaySteps(rate: number, steps: readonly Step[]): { atMs: number; tokens: number }[] {
  const shape = (count: number) => ({
    rate,
    burst: computeLendableBurst(rate, burst),
    slots: count,
  });
  const admitted: { atMs: number; tokens: number }[] = [];
  const buckets: Bucket[] = [];
  const incarnations = hosts.map((index) => `${index}.0`);
  let shares = createSlotAllocation();
  let messages: Message[] = [];
  let nowMs = 0;
  let count = 0;
  const bucketOf = (index: number): Bucket => buckets[index] ?? createBucket(shape(0), nowMs);
  const incarnationOf = (index: number): string => incarnations[index] ?? '';

  for (const index of hosts) {
    const taken = takeSlots(shares, holder(index, incarnationOf(index)), startSlots[index] ?? 0);
    shares = taken.shares;
    const level = shape(0).burst * taken.slots * 1000;
    buckets[index] = createBucket(shape(taken.slots), 0, { level });
  }

  const spend = (index: number, quarters: number, saved: number, borrows: boolean): void => {
    const startedAtMs = nowMs;
    const incarnation = incarnationOf(index);
    const own = String(++count);
    const level = Math.max(0, Math.floor((computeLevel(bucketOf(index), nowMs) * quarters) / 4));
    buckets[index] = chargeBucket(bucketOf(index), own, level, nowMs);
    const loans = hosts
      .filter((lender) => borrows && lender !== index)
      .map((lender) => {
        const id = String(++count);
        const asked = Math.floor((computeLevel(bucketOf(lender), nowMs) * quarters) / 4);
        const granted = grantLoan(bucketOf(lender), id, asked, nowMs);
        buckets[lender] = granted.bucket;
        return { id, lender, units: granted.units };
      });
    const arrived = new Set<string>();
    const all = loans.reduce((sum, { units }) => sum + units, level);
    const tokens = Math.floor(all / UNITS_PER_TOKEN);
    const used = tokens - Math.floor((tokens * saved) / 4);

    const settle = (usedTokens: number): void => {
      let left = usedTokens * UNITS_PER_TOKEN;
      for (const { id, lender, units } of loans) {
        const part = Math.min(units, left);
        left -= part;
        messages.push(() => {
          buckets[lender] = settleCharge(bucketOf(lender), id, part);
        });
      }
      buckets[index] = settleCharge(bucketOf(index), own, left);
    };
    const decide = (): void => {
      if (arrived.size < loans.length || incarnation !== incarnationOf(index)) return;
      arrived.clear();
      const isLate = nowMs - startedAtMs > LOAN_DEADLINE_MS;
      if (!isLate) admitted.push({ atMs: nowMs, tokens: used });
      settle(isLate ? 0 : used);
    };
    if (!borrows) decide();
    const seen = new Set<string>();
    for (const { id } of loans)
      messages.push(() => {
        if (seen.has(id)) return;
        seen.add(id);
        arrived.add(id);
        decide();
      });
  };

  const deliver = (isLastFirst: boolean, isDoubled: boolean): void => {
    const message = messages.at(isLastFirst ? -1 : 0);
    if (message === undefined) return;
    if (!isDoubled) messages = messages.filter((other) => other !== message);
    message();
  };

  const crash = (index: number): void => {
    const old = incarnationOf(index);
    shares = dropDeadHolders(shares, ({ incarnation }) => incarnation === old);
    incarnations[index] = `${index}.${++count}`;
    buckets[index] = createBucket(shape(0), nowMs);
  };

  const move = (index: number, wanted: number): void => {
    const given = Math.min(wanted, bucketOf(index).current.parameters.slots);
    const released = releaseBucketSlots(bucketOf(index), given, nowMs);
    buckets[index] = released.bucket;
    shares = releaseSlots(shares, incarnationOf(index), given, { only: released.units });
  };

  const take = (index: number, wanted: number): void => {
    const taken = takeSlots(shares, holder(index, incarnationOf(index)), wanted);
    shares = taken.shares;
    const bucket = bucketOf(index);
    const next = shape(bucket.current.parameters.slots + taken.slots);
    buckets[index] = setBucketParameters(bucket, next, nowMs, {
      addedUnits: taken.units.only ?? 0,
    });
  };

  for (const item of steps)
    if (item.kind === 'advance') nowMs += item.ms;
    else if (item.kind === 'spend') spend(item.host, item.quarters, item.saved, item.borrows);
    else if (item.kind === 'lose') messages = messages.slice(1);
    else if (item.kind === 'crash') crash(item.host);
    else if (item.kind === 'move') move(item.host, item.slots);
    else if (item.kind === 'take') take(item.host, item.slots);
    else for (let left = item.count; left > 0; left -= 1) deliver(item.isLastFirst, item.isDoubled);
  return admitted;
}

function isWithinBounds(
  rate: number,
  admitted: readonly { atMs: number; tokens: number }[],
): boolean {
  return admitted.every(({ atMs: startMs }, first) => {
    let sum = 0;
    return admitted.slice(first).every(({ atMs, tokens }) => {
      sum += tokens;
      return sum * 1000 <= burst * 1000 + rate * (atMs - startMs);
    });
  });
}

// A high rate tries tokens in flight, a low one tries what must not be counted twice.
for (const rate of [2000, 20])
  t.test(
    `keeps every window within burst and a rate of ${rate}, whatever is lost, late, doubled or moved`,
    (t) => {
      const steps = fc.array(step, { minLength: 20, maxLength: 150, size: 'max' });
      const property = fc.property(steps, (list) => isWithinBounds(rate, replaySteps(rate, list)));
      fc.assert(property, { seed: 7, numRuns: 5000 });
      t.end();
    },
  );
