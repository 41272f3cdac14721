import t from 'tap';
import { encodeRevision } from '../../storeEpochs/encodeRevision/index.js';
import { dropAwaitedEvacuations } from '../dropAwaitedEvacuations/index.js';
import type { Evacuation, EvacuationRead, EvacuationState } from '../types.js';
import { mergeEvacuations, REWRITE_MS } from './index.js';

type Keys = Record<string, Partial<Evacuation>>;

function toMap(keys: Keys, revision: number): Map<string, Evacuation> {
  return new Map(Object.entries(keys).map(([name, item]) => [name, { revision, ...item }]));
}
const snapshot = (revision: number, keys: Keys = {}): EvacuationRead => ({
  revision,
  present: toMap(keys, revision),
  revoked: new Map(),
  isSnapshot: true,
});
const known = (revision: number, keys: Keys = {}): EvacuationState => ({
  revision,
  evacuations: toMap(keys, revision),
});
const listNames = (state: EvacuationState | undefined) => [...(state?.evacuations.keys() ?? [])];

t.test('a late view or list neither revokes an evacuation nor brings it back', (t) => {
  t.strictSame(listNames(mergeEvacuations(known(10, { b: {} }), snapshot(9), 0)), ['b']);
  t.strictSame(listNames(mergeEvacuations(known(10), snapshot(9, { b: {} }), 0)), []);
  t.strictSame(listNames(mergeEvacuations(known(10), snapshot(11, { b: {} }), 0)), ['b']);
  t.strictSame(listNames(mergeEvacuations(known(10, { b: {} }), snapshot(11), 0)), []);
  t.end();
});

t.test('changes that a snapshot of the leader contained already change nothing', (t) => {
  const changes = { ...snapshot(12), revoked: new Map([['b', 9]]), isSnapshot: false };
  t.strictSame(listNames(mergeEvacuations(known(10, { b: {} }), changes, 0)), ['b']);
  const later = { ...changes, revoked: new Map([['b', 11]]) };
  t.strictSame(listNames(mergeEvacuations(known(10, { b: {} }), later, 0)), []);
  t.end();
});

t.test('changes alone do not tell a host that has read nothing which there are', (t) => {
  t.equal(
    mergeEvacuations(undefined, { ...snapshot(3, { b: {} }), isSnapshot: false }, 0),
    undefined,
  );
  t.end();
});

t.test('a key that is missing in a restored store is kept until it may be written again', (t) => {
  const before = known(encodeRevision(1, 50), { b: {} });
  const restored = mergeEvacuations(before, snapshot(encodeRevision(2, 20)), 1000);
  t.strictSame(listNames(restored), ['b']);
  const repeated = mergeEvacuations(restored, snapshot(encodeRevision(2, 30)), 1500);
  t.strictSame(listNames(repeated), ['b'], 'also by a later list');
  if (repeated === undefined) return t.end();
  t.strictSame(listNames(dropAwaitedEvacuations(repeated, 999 + REWRITE_MS)), ['b']);
  t.strictSame(listNames(dropAwaitedEvacuations(repeated, 1000 + REWRITE_MS)), []);
  const revoked = new Map([['b', encodeRevision(2, 31)]]);
  const change = { ...snapshot(encodeRevision(2, 31)), revoked, isSnapshot: false };
  t.strictSame(listNames(mergeEvacuations(repeated, change, 1600)), [], 'unless it is revoked');
  const rewritten = mergeEvacuations(repeated, snapshot(encodeRevision(2, 31), { b: {} }), 1600);
  if (rewritten !== undefined)
    t.strictSame(listNames(dropAwaitedEvacuations(rewritten, Infinity)), ['b']);
  t.end();
});

t.test('a host that has started since the restore awaits what the leader awaits', (t) => {
  const view = snapshot(encodeRevision(2, 20), { b: { awaitedUntilMs: 900 } });
  t.strictSame(listNames(mergeEvacuations(known(encodeRevision(2, 25)), view, 0)), ['b']);
  t.strictSame(listNames(mergeEvacuations(known(encodeRevision(3, 5)), view, 0)), []);
  t.end();
});

t.test('a second restore prolongs the time', (t) => {
  const awaited = known(encodeRevision(2, 20), { b: { awaitedUntilMs: 100 } });
  const restored = mergeEvacuations(awaited, snapshot(encodeRevision(3, 20)), 5000);
  t.equal(restored?.evacuations.get('b')?.awaitedUntilMs, 5000 + REWRITE_MS);
  t.end();
});
