import t from 'tap';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { compareQueuedRequests } from '../compareQueuedRequests/index.js';
import { computeLatestStart } from '../computeLatestStart/index.js';
import { estimateQueueWait } from './index.js';

const PLACES = 6; // what the servers run at once
const SERVICE_MS = 400;
const PER_SECOND = 18; // a fifth more than they serve
const SECONDS = 120;
const TARGETS_MS = [300, 1500]; // of two routes

interface Waiting {
  priority: number;
  arrivedAtMs: number;
  dueAtMs: number;
}
interface Rule {
  order: (one: Waiting, other: Waiting) => number;
  /** When a request that would begin late is refused. */
  refusal: 'never' | 'whenOverdue' | 'atOnce';
}

/** Replays two routes with different targets at a host whose servers are at their limits. */
function replayQueue(seed: number, { order, refusal }: Rule) {
  const generator = xoroshiro128plus(seed);
  const draw = (meanMs: number): number => -meanMs * Math.log(1 - uniformFloat64(generator));
  const result = { inTime: 0, late: 0, refused: 0, lostMs: 0 };
  let endsAtMs: number[] = [];
  let queue: Waiting[] = [];
  const start = (request: Waiting, nowMs: number): void => {
    endsAtMs.push(nowMs + draw(SERVICE_MS));
    if (nowMs <= request.dueAtMs) result.inTime += 1;
    else result.late += 1;
  };
  const advance = (untilMs: number): void => {
    for (;;) {
      const nextMs = Math.min(...endsAtMs);
      if (nextMs > untilMs) return;
      endsAtMs = endsAtMs.filter((atMs) => atMs !== nextMs);
      if (refusal !== 'never') {
        const overdue = queue.filter(({ dueAtMs }) => dueAtMs < nextMs);
        result.refused += overdue.length;
        for (const { arrivedAtMs, dueAtMs } of overdue) result.lostMs += dueAtMs - arrivedAtMs;
        queue = queue.filter(({ dueAtMs }) => dueAtMs >= nextMs);
      }
      const next = queue.sort(order).shift();
      if (next !== undefined) start(next, nextMs);
    }
  };
  for (let nowMs = 0; nowMs < SECONDS * 1000; nowMs += draw(1000 / PER_SECOND)) {
    advance(nowMs);
    const latencyTargetMs = TARGETS_MS[uniformFloat64(generator) < 0.5 ? 0 : 1] ?? 0;
    const dueAtMs = computeLatestStart({
      arrivedAtMs: nowMs,
      deadlineAtMs: Infinity,
      latencyTargetMs,
      targets: 1,
      delayMs: 50,
    });
    const request = { priority: 0, arrivedAtMs: nowMs, dueAtMs };
    const ahead = queue.filter((other) => order(other, request) <= 0).length;
    const servers = [{ active: endsAtMs.length, limit: PLACES, serviceTimeMs: SERVICE_MS }];
    if (endsAtMs.length < PLACES) start(request, nowMs);
    else if (
      refusal === 'atOnce' &&
      nowMs + estimateQueueWait({ servers, ahead, hostCount: 1 }) > dueAtMs
    )
      result.refused += 1;
    else queue.push(request);
  }
  return result;
}

const byArrival = (one: Waiting, other: Waiting): number => one.arrivedAtMs - other.arrivedAtMs;
const SEEDS = [1, 2, 3];

// Guards against a queue in which all requests are late, as each waits behind late ones.
t.test('serves more in time than a queue without refusals', (t) => {
  for (const seed of SEEDS) {
    const before = replayQueue(seed, { order: byArrival, refusal: 'never' });
    const after = replayQueue(seed, { order: compareQueuedRequests, refusal: 'atOnce' });
    t.ok(after.inTime > 1.5 * before.inTime, { seed, before, after });
    t.equal(after.late, 0);
  }
  t.end();
});

// Guards against refusals after a wait, with which the caller has lost the time to go elsewhere.
t.test('refuses sooner than when the requests are overdue, and serves as many', (t) => {
  for (const seed of SEEDS) {
    const before = replayQueue(seed, { order: compareQueuedRequests, refusal: 'whenOverdue' });
    const after = replayQueue(seed, { order: compareQueuedRequests, refusal: 'atOnce' });
    t.ok(after.lostMs < 0.75 * before.lostMs, { seed, before, after });
    t.ok(after.inTime > 0.97 * before.inTime, { seed, before, after });
  }
  t.end();
});

t.test('a place in the order of deadlines serves no fewer than the order of arrival', (t) => {
  const sum = (order: Rule['order']): number =>
    SEEDS.reduce((all, seed) => all + replayQueue(seed, { order, refusal: 'atOnce' }).inTime, 0);
  const [before, after] = [sum(byArrival), sum(compareQueuedRequests)];
  t.ok(after >= before, `${after} in the order of deadlines, ${before} of arrival`);
  const urgent = { priority: 0, dueAtMs: 900 };
  t.ok(compareQueuedRequests(urgent, { priority: 1, dueAtMs: 100 }) < 0, 'priority comes first');
  t.end();
});

t.test('the wait grows with the requests ahead at all hosts', (t) => {
  const servers = [{ active: 16, limit: 16, serviceTimeMs: 1600 }];
  t.equal(estimateQueueWait({ servers, ahead: 0, hostCount: 5 }), 100);
  t.equal(estimateQueueWait({ servers, ahead: 1, hostCount: 5 }), 600);
  t.equal(estimateQueueWait({ servers: [], ahead: 3, hostCount: 5 }), 0);
  t.end();
});
