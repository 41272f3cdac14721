import t from 'tap';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { createLocalSchedule, reserveLocalRequest } from './index.js';

const PER_SECOND = 1;
const ALLOWED = 1.5 * PER_SECOND * 4 + 5;

/** Lets hosts that always have a request send to one server; returns the most in any 4 s. */
function replayHosts(hostCount: number, seed: number, isIdle: (nowMs: number) => boolean): number {
  const generator = xoroshiro128plus(seed);
  const limits = { perSecond: PER_SECOND, hostCount };
  const schedules = Array.from({ length: hostCount }, () =>
    createLocalSchedule({ nowMs: 0, ...limits }, uniformFloat64(generator)),
  );
  const sentAtMs: number[] = [];
  for (let nowMs = 0; nowMs < 400_000; nowMs += 200)
    for (const [index, schedule] of schedules.entries()) {
      if (isIdle(nowMs)) continue;
      const options = { nowMs, ...limits, maximumWaitMs: 0 };
      const reservation = reserveLocalRequest(schedule, options);
      schedules[index] = reservation.schedule;
      if (reservation.isGranted) sentAtMs.push(nowMs);
    }
  return Math.max(
    ...sentAtMs.map((from) => sentAtMs.filter((at) => at >= from && at < from + 4000).length),
  );
}

t.test('hosts without a leader keep to a limit below one request each', (t) => {
  for (let seed = 1; seed <= 10; seed += 1)
    for (const hostCount of [3, 8, 195]) t.ok(replayHosts(hostCount, seed, () => false) <= ALLOWED);
  t.end();
});

t.test('hosts without requests for a while do not all send at once after it', (t) => {
  for (let seed = 1; seed <= 10; seed += 1)
    t.ok(replayHosts(195, seed, (nowMs) => nowMs % 250_000 < 240_000) <= ALLOWED);
  t.end();
});
