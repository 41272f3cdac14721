import t from 'tap';
import { computeFreshnessLimits, FEED_END_MARGIN_MS, RESPONSE_MARGIN_MS } from './index.js';

const VIEW_INTERVAL_MS = 200;
const LIMITS_MS = [2000, 3000, 4000, 10_000];

t.test('stays within the limit when the leader loses the store', (t) => {
  for (const limitMs of LIMITS_MS) {
    const { watchTimeoutMs, outdatedFeedMs } = computeFreshnessLimits(limitMs);
    const lateMs = watchTimeoutMs + RESPONSE_MARGIN_MS + outdatedFeedMs + FEED_END_MARGIN_MS;
    t.ok(lateMs <= limitMs, `${lateMs} of ${limitMs}`);
  }
  // With the shortest limit hosts rely on a leader only while its watches are current.
  t.equal(computeFreshnessLimits(2000).outdatedFeedMs, 0);
  t.end();
});

t.test('stays within the limit when the leader fails', (t) => {
  for (const limitMs of LIMITS_MS) {
    const { serverBatchDelayMs, feedTimeoutMs } = computeFreshnessLimits(limitMs);
    const lateMs = serverBatchDelayMs + feedTimeoutMs + 2 * VIEW_INTERVAL_MS + RESPONSE_MARGIN_MS;
    t.ok(lateMs <= limitMs, `${lateMs} of ${limitMs}`);
  }
  t.end();
});

t.test('leaves a new leader the lease of the old one where the limit allows it', (t) => {
  t.ok(computeFreshnessLimits(4000).feedTimeoutMs >= 2000);
  t.end();
});

t.test('calls the store less often with a longer limit', (t) => {
  const short = computeFreshnessLimits(2000);
  const long = computeFreshnessLimits(4000);
  t.ok(long.watchTimeoutMs > short.watchTimeoutMs);
  t.ok(long.serverBatchDelayMs > short.serverBatchDelayMs);
  t.end();
});

t.test(
  'leaves a host whose list is too old the time for a read that fails and another one',
  (t) => {
    for (const limitMs of LIMITS_MS) {
      const { maximumListAgeMs } = computeFreshnessLimits(limitMs);
      t.ok(maximumListAgeMs + VIEW_INTERVAL_MS + RESPONSE_MARGIN_MS <= limitMs);
    }
    t.end();
  },
);

t.test('a list that the leader keeps current is not too old', (t) => {
  for (const limitMs of LIMITS_MS) {
    const { maximumListAgeMs, watchTimeoutMs } = computeFreshnessLimits(limitMs);
    // A view answers a report of the last round and is followed by the next one.
    t.ok(watchTimeoutMs + 2 * VIEW_INTERVAL_MS + RESPONSE_MARGIN_MS <= maximumListAgeMs);
  }
  t.end();
});
