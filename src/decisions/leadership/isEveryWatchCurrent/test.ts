import t from 'tap';
import { isEveryWatchCurrent } from './index.js';

const MAX_PROPAGATION_MS = 2000; // new versions and leaving servers must be noticed within it
const WATCH_TIMEOUT_MS = 1000;
const ROUND_MS = 200;

t.test('is false two rounds before the limit, so that other hosts can watch in time', (t) => {
  t.ok(
    isEveryWatchCurrent([0, 900], WATCH_TIMEOUT_MS, 1000),
    'a watch without changes is answered only after its timeout',
  );
  t.notOk(isEveryWatchCurrent([0, 900], WATCH_TIMEOUT_MS, MAX_PROPAGATION_MS - 2 * ROUND_MS));
  t.end();
});

t.test('is false until every watch has been answered once', (t) => {
  t.notOk(isEveryWatchCurrent([0, -Infinity], WATCH_TIMEOUT_MS, 100));
  t.end();
});
