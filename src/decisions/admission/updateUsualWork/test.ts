import t from 'tap';
import { updateUsualWork } from './index.js';

/** Applies the same work for some seconds; returns what counts as usual then. */
function runSeconds(seconds: number, recent: number, isOverLevel: boolean, from = 100): number {
  let usual = from;
  for (let second = 1; second <= seconds; second += 1)
    usual = updateUsualWork({
      usual,
      recent,
      elapsedMs: 1000,
      observedMs: 60_000 + 1000 * second,
      isOverLevel,
    });
  return usual;
}

// Guards against a surge that becomes the usual within the shortage that it causes.
t.test('follows on calm days, and slowly in a shortage', (t) => {
  t.ok(runSeconds(60, 1000, false) > 700);
  t.ok(runSeconds(60, 1000, true) < 300);
  t.ok(runSeconds(60, 10, true) < 40, 'less work counts at once');
  const start = { usual: 0, recent: 500, elapsedMs: 200, observedMs: 200, isOverLevel: false };
  t.equal(updateUsualWork(start), 500, 'the first observation is the usual');
  t.end();
});
