import t from 'tap';
import { isFeedCurrent } from './index.js';

const BOUND_MS = 2000; // new versions and leaving servers must be heard of within it
const ROUND_MS = 200;

t.test('takes the others back to the store as soon as one watch fails', (t) => {
  const heard = { answeredAtMs: 900, hasFailed: false };
  t.ok(isFeedCurrent([heard, heard], 1000));
  t.notOk(isFeedCurrent([heard, { ...heard, hasFailed: true }], 1000));
  t.end();
});

t.test('leaves time within the bound for the others to ask the store after a silence', (t) => {
  const heard = { answeredAtMs: 0, hasFailed: false };
  t.ok(isFeedCurrent([heard], 1000), 'a watch without changes waits that long');
  t.notOk(isFeedCurrent([heard], BOUND_MS - 2 * ROUND_MS));
  t.end();
});

t.test('is not current before each watch was answered', (t) => {
  const heard = { answeredAtMs: 0, hasFailed: false };
  t.notOk(isFeedCurrent([heard, { answeredAtMs: -Infinity, hasFailed: false }], 100));
  t.end();
});
