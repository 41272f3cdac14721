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
const initialSlots = [32, 16, 16];

const host = fc.constantFrom(...hosts);
const slots = fc.integer({ min: 1, max: 30 });
const stepArbitrary = fc.oneof(
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
      /** Quarters of the levels of the host and of its lenders that are charged. */
      quarters: fc.integer({ min: 1, max: 4 }),
      /** Quarters of the charge that are not used in the end. */
      unusedQuarters: fc.constantFrom(0, 0, 0, 1, 3, 4),
      borrows: fc.boolean(),
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('deliver' as const),
      count: fc.integer({ min: 1, max: 8 }),
      isNewestFirst: fc.boolean(),
      isDuplicated: fc.boolean(),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('lose' as const) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('crash' as const), host }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('move' as const), host, slots }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('take' as const), host, slots }) },
);
type Step = typeof stepArbitrary extends fc.Arbitrary<infer Value> ? Value : never;
type Message = () => void;

const buildHolder = (index: number, incarnation: string) => ({
  host: String(index),
  endpoint: String(index),
  incarnation,
});

/** Runs the steps on a fleet of three hosts and returns the tokens used by each admitted request. */
function replaySteps(rate: number, steps: readonly Step[]): { atMs: number; tokens: number }[] {
  const buildParameters = (slotCount: number) => ({
    rate,
    burst: computeLendableBurst(rate, burst),
    slots: slotCount,
  });
  const admitted: { atMs: number; tokens: number }[] = [];
  const buckets: Bucket[] = [];
  const incarnations = hosts.map((index) => `${index}.0`);
  let allocation = createSlotAllocation();
  let messages: Message[] = [];
  let nowMs = 0;
  let lastId = 0;
  const getBucket = (index: number): Bucket =>
    buckets[index] ?? createBucket(buildParameters(0), nowMs);
  const getIncarnation = (index: number): string => incarnations[index] ?? '';

  for (const index of hosts) {
    const taken = takeSlots(
      allocation,
      buildHolder(index, getIncarnation(index)),
      initialSlots[index] ?? 0,
    );
    allocation = taken.shares;
    const level = buildParameters(0).burst * taken.slots * 1000;
    buckets[index] = createBucket(buildParameters(taken.slots), 0, { level });
  }

  const spend = (
    index: number,
    quarters: number,
    unusedQuarters: number,
    borrows: boolean,
  ): void => {
    const startedAtMs = nowMs;
    const incarnation = getIncarnation(index);
    const ownId = String(++lastId);
    const level = Math.max(0, Math.floor((computeLevel(getBucket(index), nowMs) * quarters) / 4));
    buckets[index] = chargeBucket(getBucket(index), ownId, level, nowMs);
    const loans = hosts
      .filter((lender) => borrows && lender !== index)
      .map((lender) => {
        const id = String(++lastId);
        const requestedUnits = Math.floor((computeLevel(getBucket(lender), nowMs) * quarters) / 4);
        const granted = grantLoan(getBucket(lender), id, requestedUnits, nowMs);
        buckets[lender] = granted.bucket;
        return { id, lender, units: granted.units };
      });
    const arrived = new Set<string>();
    const chargedUnits = loans.reduce((sum, { units }) => sum + units, level);
    const tokens = Math.floor(chargedUnits / UNITS_PER_TOKEN);
    const used = tokens - Math.floor((tokens * unusedQuarters) / 4);

    const settle = (usedTokens: number): void => {
      let left = usedTokens * UNITS_PER_TOKEN;
      for (const { id, lender, units } of loans) {
        const part = Math.min(units, left);
        left -= part;
        messages.push(() => {
          buckets[lender] = settleCharge(getBucket(lender), id, part);
        });
      }
      buckets[index] = settleCharge(getBucket(index), ownId, left);
    };
    const decide = (): void => {
      if (arrived.size < loans.length || incarnation !== getIncarnation(index)) return;
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

  const deliver = (isNewestFirst: boolean, isDuplicated: boolean): void => {
    const message = messages.at(isNewestFirst ? -1 : 0);
    if (message === undefined) return;
    if (!isDuplicated) messages = messages.filter((other) => other !== message);
    message();
  };

  const crash = (index: number): void => {
    const old = getIncarnation(index);
    allocation = dropDeadHolders(allocation, ({ incarnation }) => incarnation === old);
    incarnations[index] = `${index}.${++lastId}`;
    buckets[index] = createBucket(buildParameters(0), nowMs);
  };

  const release = (index: number, wanted: number): void => {
    const releasedCount = Math.min(wanted, getBucket(index).current.parameters.slots);
    const released = releaseBucketSlots(getBucket(index), releasedCount, nowMs);
    buckets[index] = released.bucket;
    allocation = releaseSlots(allocation, getIncarnation(index), releasedCount, {
      only: released.units,
    });
  };

  const take = (index: number, wanted: number): void => {
    const taken = takeSlots(allocation, buildHolder(index, getIncarnation(index)), wanted);
    allocation = taken.shares;
    const bucket = getBucket(index);
    const parameters = buildParameters(bucket.current.parameters.slots + taken.slots);
    buckets[index] = setBucketParameters(bucket, parameters, nowMs, {
      addedUnits: taken.units.only ?? 0,
    });
  };

  for (const step of steps)
    if (step.kind === 'advance') nowMs += step.ms;
    else if (step.kind === 'spend')
      spend(step.host, step.quarters, step.unusedQuarters, step.borrows);
    else if (step.kind === 'lose') messages = messages.slice(1);
    else if (step.kind === 'crash') crash(step.host);
    else if (step.kind === 'move') release(step.host, step.slots);
    else if (step.kind === 'take') take(step.host, step.slots);
    else
      for (let left = step.count; left > 0; left -= 1)
        deliver(step.isNewestFirst, step.isDuplicated);
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

// Messages are lost, late, duplicated and out of order, hosts crash, and slots move between them. A
// high rate reveals faults with tokens in flight, a low one tokens that are counted twice.
for (const rate of [2000, 20])
  t.test(
    `never exceeds burst and a rate of ${rate} in any window, despite message faults, crashes and moved slots`,
    (t) => {
      const steps = fc.array(stepArbitrary, { minLength: 20, maxLength: 150, size: 'max' });
      const property = fc.property(steps, (list) => isWithinBounds(rate, replaySteps(rate, list)));
      fc.assert(property, { seed: 7, numRuns: 5000 });
      t.end();
    },
  );
