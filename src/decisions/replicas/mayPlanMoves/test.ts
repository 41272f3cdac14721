import t from 'tap';
import { mayPlanMoves } from './index.js';

const PASS_MS = 300;

/** Replays planning passes while servers are added at some times; returns when moves were planned. */
function listPlannedMs(addedAtMs: readonly number[], untilMs: number): number[] {
  const planned: number[] = [];
  for (let nowMs = 0; nowMs <= untilMs; nowMs += PASS_MS) {
    const lastAddedAtMs = addedAtMs.filter((atMs) => atMs <= nowMs).pop() ?? -Infinity;
    const state = { sinceAddedMs: nowMs - lastAddedAtMs, hasPlanned: planned.length > 0 };
    if (mayPlanMoves(state)) planned.push(nowMs);
  }
  return planned;
}

t.test('a new leader waits until the engines of a starting system have registered', (t) => {
  const [first = 0] = listPlannedMs([0, 400, 900, 1300], 6000);
  t.ok(first >= 1300 + 1200);
  t.end();
});

t.test('plans in every pass while empty engines are added one by one', (t) => {
  const added = Array.from({ length: 25 }, (_, index) => 10_000 + index * 1200);
  const planned = listPlannedMs([0, ...added], 40_000);
  const passes = Math.floor(40_000 / PASS_MS) - Math.ceil(10_000 / PASS_MS) + 1;
  t.equal(planned.filter((atMs) => atMs >= 10_000).length, passes);
  t.end();
});
