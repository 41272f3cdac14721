import t from 'tap';
import { computeTrialDelayMs } from './index.js';

t.test('allows the first trial at once', (t) => {
  t.equal(computeTrialDelayMs(0, 0), 0);
  t.end();
});

t.test('repeats an undecided trial within seconds, then less often', (t) => {
  t.equal(computeTrialDelayMs(1, 0), 4000);
  t.equal(computeTrialDelayMs(3, 0), 16_000);
  t.end();
});

t.test('makes trials rare once they crash servers', (t) => {
  t.equal(computeTrialDelayMs(1, 1), 600_000);
  t.equal(computeTrialDelayMs(5, 2), 2_400_000);
  t.equal(computeTrialDelayMs(9, 9), 86_400_000);
  t.end();
});
