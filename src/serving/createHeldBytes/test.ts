import t from 'tap';
import {
  MAX_EVENT_BYTES,
  MAX_LARGE_BYTES,
  SMALL_HELD_BYTES,
} from '../../decisions/serving/mayHoldBytes/index.js';
import { createHeldBytes } from './index.js';

const FULL_SHARES = Math.floor(MAX_LARGE_BYTES / (MAX_EVENT_BYTES - SMALL_HELD_BYTES));

t.test('counts what all responses hold, and what they release', (t) => {
  const held = createHeldBytes();
  const shares = Array.from({ length: FULL_SHARES }, () => held.open());
  for (const share of shares) t.ok(share.set(MAX_EVENT_BYTES));
  const next = held.open();
  t.notOk(next.set(MAX_EVENT_BYTES));
  t.ok(next.set(SMALL_HELD_BYTES), 'a usual event');
  shares[0]?.set(0);
  t.ok(next.set(MAX_EVENT_BYTES));
  shares[1]?.release();
  shares[1]?.release();
  t.ok(held.open().set(MAX_EVENT_BYTES));
  t.notOk(held.open().set(MAX_EVENT_BYTES));
  t.end();
});
