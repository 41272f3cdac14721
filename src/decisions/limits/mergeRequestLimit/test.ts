import t from 'tap';
import type { RequestLimit } from '../types.js';
import { mergeRequestLimit } from './index.js';

const buildLimit = (perSecond: number, sentAtMs: number, receivedAtMs: number): RequestLimit => ({
  perSecond,
  sentAtMs,
  receivedAtMs,
});
const known = buildLimit(2, 100, 150);

t.test('a response without a limit tells nothing new of a server without one', (t) => {
  t.equal(mergeRequestLimit(undefined, buildLimit(Infinity, 0, 10)), undefined);
  t.end();
});

t.test('a response to an earlier request neither raises nor ends a limit', (t) => {
  t.equal(mergeRequestLimit(known, buildLimit(Infinity, 120, 900)), known);
  t.equal(mergeRequestLimit(known, buildLimit(8, 149, 200)), known);
  t.equal(mergeRequestLimit(known, buildLimit(8, 150, 200))?.perSecond, 8);
  t.equal(mergeRequestLimit(known, buildLimit(Infinity, 150, 200))?.perSecond, Infinity);
  t.end();
});

t.test('a lower limit counts at once, unless it is certainly older', (t) => {
  t.equal(mergeRequestLimit(known, buildLimit(1, 50, 120))?.perSecond, 1);
  t.equal(mergeRequestLimit(known, buildLimit(1, 50, 90)), known);
  const ended = buildLimit(Infinity, 300, 320);
  t.equal(mergeRequestLimit(ended, buildLimit(2, 250, 290)), ended);
  t.equal(mergeRequestLimit(ended, buildLimit(2, 290, 310))?.perSecond, 2);
  t.end();
});
