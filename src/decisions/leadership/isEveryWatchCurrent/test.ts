import t from 'tap';
import { isEveryWatchCurrent } from './index.js';

const BOUND_MS = 2000; // new versions and leaving servers must be heard of within it
const ROUND_MS = 200;

t.test('leaves time within the bound for the others to ask the store themselves', (t) => {
  t.ok(isEveryWatchCurrent([0, 900], 1000), 'a watch without changes waits that long');
  t.notOk(isEveryWatchCurrent([0, 900], BOUND_MS - 2 * ROUND_MS));
  t.end();
});

t.test('is not current before each watch was answered', (t) => {
  t.notOk(isEveryWatchCurrent([0, -Infinity], 100));
  t.end();
});
