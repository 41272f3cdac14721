import t from 'tap';
import { computeTrialDelayMs } from './index.js';

t.test('allows the first trial at once', (t) => {
  t.equal(computeTrialDelayMs({ trials: 0, confirmations: 0 }), 0);
  t.end();
});

t.test('repeats an undecided trial once within seconds, then rarely', (t) => {
  t.equal(computeTrialDelayMs({ trials: 1, confirmations: 0 }), 4000);
  t.equal(computeTrialDelayMs({ trials: 2, confirmations: 0 }), 600_000);
  t.end();
});

t.test('makes trials rare once servers are known to crash on the parts', (t) => {
  t.equal(computeTrialDelayMs({ trials: 0, confirmations: 1 }), 600_000);
  t.equal(computeTrialDelayMs({ trials: 5, confirmations: 2 }), 2_400_000);
  t.equal(computeTrialDelayMs({ trials: 9, confirmations: 9 }), 86_400_000);
  t.end();
});
