import t from 'tap';
import { findCrashingParts } from './index.js';

const buildCrash = (server: string, atMs: number, ...parts: string[]) => ({
  server,
  atMs,
  parts: new Set(parts),
});
const listParts = (...input: Parameters<typeof findCrashingParts>) =>
  findCrashingParts(...input).map(({ parts }) => [...parts].sort());
const nothingServed = new Map<string, number>();

t.test('blames nothing for a single crash', (t) => {
  t.same(listParts([buildCrash('e1', 0, 'bad', 'good')], nothingServed), []);
  t.end();
});

t.test('blames a part that two servers crashed with and that was never served', (t) => {
  const crashes = [
    buildCrash('e1', 0, 'first', 'bad', 'rare-1'),
    buildCrash('e2', 900, 'first', 'bad', 'rare-2'),
  ];
  const served = new Map([['first', 950]]);
  t.match(findCrashingParts(crashes, served), [{ parts: ['bad'], crashes: 2, lastCrashAtMs: 900 }]);
  t.end();
});

t.test('counts a server once, as its connections break one by one', (t) => {
  const crashes = [buildCrash('e1', 0, 'bad'), buildCrash('e1', 40, 'bad')];
  t.same(listParts(crashes, nothingServed), []);
  t.end();
});

t.test('keeps parts together that no crash tells apart', (t) => {
  const crashes = [buildCrash('e1', 0, 'bad', 'beside'), buildCrash('e2', 5, 'bad', 'beside')];
  t.same(listParts(crashes, nothingServed), [['bad', 'beside']]);
  t.same(listParts([...crashes, buildCrash('e3', 9, 'bad')], nothingServed), [['bad']]);
  t.end();
});

t.test('does not blame common parts for crashes that a part never served explains', (t) => {
  const crashes = [0, 2000, 4000, 6000].map((atMs) => buildCrash(`e${atMs}`, atMs, 'first', 'bad'));
  t.same(listParts(crashes, new Map([['first', -10]])), [['bad']]);
  t.end();
});

t.test('does not blame common parts when many servers crash at one moment', (t) => {
  const crashes = Array.from({ length: 13 }, (_, index) =>
    buildCrash(`e${index}`, index * 20, 'first', `rare-${index}`),
  );
  t.same(listParts(crashes, new Map([['first', -10]])), []);
  t.end();
});

t.test('blames a part that turned harmful after crashes at three moments', (t) => {
  const crashes = [0, 1500, 3000].map((atMs) => buildCrash(`e${atMs}`, atMs, 'first', 'turned'));
  const served = new Map([
    ['first', 3100],
    ['turned', -10],
  ]);
  t.same(listParts(crashes, served), [['turned']]);
  t.same(listParts(crashes.slice(1), served), []);
  t.end();
});

t.test('finds two parts that crash servers in turn', (t) => {
  const crashes = ['a', 'b', 'a', 'b', 'a'].map((part, index) =>
    buildCrash(`e${index}`, index, part, 'first'),
  );
  t.same(listParts(crashes, new Map([['first', 10]])), [['a'], ['b']]);
  t.end();
});
