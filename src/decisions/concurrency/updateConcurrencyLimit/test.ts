import t from 'tap';
import { addHeldTokens } from '../addHeldTokens/index.js';
import { isWithinLimit } from '../isWithinLimit/index.js';
import { mayExceedLimit } from '../mayExceedLimit/index.js';
import type { ConcurrencyObservation } from '../types.js';
import { buildFirstLimit, updateConcurrencyLimit } from './index.js';

const observation = (change: Partial<ConcurrencyObservation>): ConcurrencyObservation => ({
  nowMs: 0,
  streams: 20,
  lateStreams: 0,
  active: 20,
  heldTokens: 50_000,
  slots: 32,
  memoryTokens: 100_000,
  ...change,
});
const late = (nowMs: number, lateStreams: number, active = 20) =>
  observation({ nowMs, lateStreams, active });

t.test('lowers the requests while streams are late, and raises them by one at the limit', (t) => {
  const lower = updateConcurrencyLimit(buildFirstLimit(32, 100_000), late(0, 8), 0.1);
  t.equal(lower.requests, 24);
  t.equal(updateConcurrencyLimit(lower, late(1000, 8), 0.1), lower, 'not before it has an effect');
  t.equal(updateConcurrencyLimit(lower, late(4000, 0, 10), 0.1).requests, 24, 'not used');
  t.equal(updateConcurrencyLimit(lower, late(4000, 0, 22), 0.1).requests, 25);
  t.end();
});

t.test('lowers the memory first where it was exceeded', (t) => {
  const first = buildFirstLimit(32, 100_000);
  const full = observation({ lateStreams: 8, heldTokens: 95_000 });
  const { requests, tokens } = updateConcurrencyLimit(first, full, 0.1);
  t.equal(requests, 32);
  t.ok(tokens < first.tokens);
  t.end();
});

t.test('keeps a few requests, and learns nothing from a few streams', (t) => {
  const first = { ...buildFirstLimit(32, 100_000), requests: 4 };
  t.equal(updateConcurrencyLimit(first, late(0, 20, 1), 0.1).requests, 4);
  const few = observation({ streams: 3, lateStreams: 3 });
  t.equal(updateConcurrencyLimit(first, few, 0.1), first);
  t.end();
});

// Guards against engines that are left idle where every stream pauses for too long at any load.
t.test('lifts a limit that has no effect', (t) => {
  let limit = buildFirstLimit(32, 100_000);
  for (let step = 0; step < 3; step += 1)
    limit = updateConcurrencyLimit(limit, late(5000 * step, 18, limit.requests), 0.1);
  t.ok(limit.requests < 20);
  limit = updateConcurrencyLimit(limit, late(15_000, 18), 0.1);
  t.equal(limit.requests, 32);
  t.equal(updateConcurrencyLimit(limit, late(40_000, 18), 0.1).requests, 32);
  t.ok(updateConcurrencyLimit(limit, late(50_000, 18), 0.1).requests < 32);
  t.end();
});

t.test('an unknown limit has no effect, and a large prompt runs alone', (t) => {
  const limit = { requests: 4, tokens: 1000 };
  t.ok(isWithinLimit({ active: 90, heldTokens: 9000, addedTokens: 9000 }));
  t.ok(isWithinLimit({ limit, active: 0, heldTokens: 0, addedTokens: 9000 }));
  t.ok(isWithinLimit({ limit, active: 3, heldTokens: 500, addedTokens: 500 }));
  t.notOk(isWithinLimit({ limit, active: 3, heldTokens: 501, addedTokens: 500 }));
  t.notOk(isWithinLimit({ limit, active: 4, heldTokens: 0, addedTokens: 10 }));
  t.end();
});

// Guards against refusals while engines are half empty, under a limit from an earlier burst.
t.test('a request that would be refused may use free slots where nothing waits', (t) => {
  const limit = { requests: 4, tokens: 1000 };
  const free = { limit, active: 15, slots: 32, backlogTokens: 0, heldTokens: 500 };
  t.ok(mayExceedLimit({ ...free, addedTokens: 500 }));
  t.notOk(mayExceedLimit({ ...free, addedTokens: 501 }));
  t.notOk(mayExceedLimit({ ...free, addedTokens: 0, active: 16 }));
  t.notOk(mayExceedLimit({ ...free, addedTokens: 0, backlogTokens: 300 }));
  t.end();
});

t.test('counts a shared part once over all hosts', (t) => {
  const held = (ownTokens: number, ...parts: [number, number][]) => ({
    ownTokens,
    parts: new Map(parts),
  });
  t.equal(addHeldTokens([held(100, [7, 6300]), held(50, [7, 6300], [8, 200])]), 6650);
  t.end();
});
