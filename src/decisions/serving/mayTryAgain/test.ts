import fc from 'fast-check';
import t from 'tap';
import { AttemptFailure, RepeatRule } from '../../../ports/serving.js';
import { mayTryAgain } from './index.js';

const failed = fc.record({
  failure: fc.constantFrom(...Object.values(AttemptFailure)),
  repeat: fc.constantFrom(...Object.values(RepeatRule)),
  attemptsRun: fc.integer({ min: 1, max: 4 }),
  maximumAttempts: fc.integer({ min: 1, max: 3 }),
  remainingMs: fc.integer({ min: -1000, max: 10_000 }),
});

t.test('never sends again what may have run and must run once', (t) => {
  const property = fc.property(failed, (attempt) => {
    const mayHaveRun = attempt.failure === AttemptFailure.broken;
    return !(mayTryAgain(attempt) && mayHaveRun && attempt.repeat === RepeatRule.once);
  });
  fc.assert(property, { seed: 3 });
  t.end();
});

t.test('never runs a request on more servers than its route allows', (t) => {
  const property = fc.property(failed, (attempt) => {
    const isSpent = attempt.attemptsRun >= attempt.maximumAttempts;
    return !(mayTryAgain(attempt) && attempt.failure === AttemptFailure.broken && isSpent);
  });
  fc.assert(property, { seed: 4 });
  t.end();
});

t.test('tries again after a refusal, not without time', (t) => {
  const refused = {
    failure: AttemptFailure.refused,
    repeat: RepeatRule.once,
    attemptsRun: 0,
    maximumAttempts: 1,
    remainingMs: 500,
  };
  t.ok(mayTryAgain(refused));
  t.notOk(mayTryAgain({ ...refused, remainingMs: 5 }));
  t.end();
});
