import t from 'tap';
import { computeFreshnessLimits } from '../computeFreshnessLimits/index.js';
import { computeMaximumStalenessMs } from './index.js';

const VIEW_INTERVAL_MS = 200;
const CONNECT_TIMEOUT_MS = 400;

t.test('is that of the configuration and the servers without evacuations', (t) => {
  const delays = { configurationDelayMs: 4000, drainingDelayMs: 3000 };
  t.equal(computeMaximumStalenessMs(delays), 3000);
  t.equal(computeMaximumStalenessMs({ ...delays, evacuationDelayMs: 5000 }), 3000);
  t.end();
});

t.test('an evacuation is in force in time where the other changes have longer', (t) => {
  for (const evacuationDelayMs of [2500, 3000, 5000, 10_000]) {
    const limitMs = computeMaximumStalenessMs({
      configurationDelayMs: 60_000,
      drainingDelayMs: 60_000,
      evacuationDelayMs,
    });
    const limits = computeFreshnessLimits(limitMs);
    // Without a leader, the watch of each host; right after its loss, the feed, its timer and two reads.
    t.ok(limits.watchTimeoutMs > 0);
    const lostMs = limits.feedTimeoutMs + 2 * VIEW_INTERVAL_MS + 2 * 300;
    t.ok(lostMs + CONNECT_TIMEOUT_MS <= evacuationDelayMs, `${lostMs} of ${evacuationDelayMs}`);
  }
  t.end();
});

t.test('a limit that no watch could keep is raised', (t) => {
  const limitMs = computeMaximumStalenessMs({
    configurationDelayMs: 4000,
    drainingDelayMs: 4000,
    evacuationDelayMs: 1000,
  });
  t.ok(computeFreshnessLimits(limitMs).watchTimeoutMs > 0);
  t.end();
});
