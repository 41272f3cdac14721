import t from 'tap';
import type { RegisteredColdTime } from '../types.js';
import { mergeRegisteredColdTime } from './index.js';

/** A registration that is read at a moment. */
const read = (renewals: number, statedMs: number, receivedAtMs: number): RegisteredColdTime => ({
  warmAtMs: receivedAtMs + statedMs,
  statedMs,
  renewals,
  receivedAtMs,
});

t.test('an older registration that arrives late ends no cold time, nor begins one', (t) => {
  const cold = read(8, 9000, 1000);
  t.equal(mergeRegisteredColdTime(cold, read(7, 0, 1100)), cold);
  const warm = read(8, 0, 1000);
  t.equal(mergeRegisteredColdTime(warm, read(7, 5000, 1100)), warm);
  t.equal(mergeRegisteredColdTime(cold, read(9, 0, 2200)).warmAtMs, 2200);
  t.equal(mergeRegisteredColdTime(warm, read(9, 9000, 2200)).warmAtMs, 11_200, 'cold again');
  t.end();
});

t.test(
  'a registration that is read again while the store takes no renewals extends nothing',
  (t) => {
    const known = read(8, 9000, 1000);
    t.equal(mergeRegisteredColdTime(known, read(8, 9000, 6000)), known);
    t.equal(mergeRegisteredColdTime(known, read(8, 8000, 1200)).warmAtMs, 9200, 'by a leader');
    t.end();
  },
);
