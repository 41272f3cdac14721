import fc from 'fast-check';
import t from 'tap';
import { AttemptFailure, RetryPolicy } from '../../../ports/serving.js';
import { mayRetry } from './index.js';

const failed = fc.record({
  failure: fc.constantFrom(...Object.values(AttemptFailure)),
  retryPolicy: fc.constantFrom(...Object.values(RetryPolicy)),
  attemptsRun: fc.integer({ min: 1, max: 4 }),
  maximumAttempts: fc.integer({ min: 1, max: 3 }),
  remainingMs: fc.integer({ min: -1000, max: 10_000 }),
});

t.test(
  'never retries a request that may have been executed and must be executed at most once',
  (t) => {
    const property = fc.property(failed, (attempt) => {
      const mayHaveRun = attempt.failure === AttemptFailure.broken;
      return !(mayRetry(attempt) && mayHaveRun && attempt.retryPolicy === RetryPolicy.once);
    });
    fc.assert(property, { seed: 3 });
    t.end();
  },
);

t.test('never executes a request on more servers than its route allows', (t) => {
  const property = fc.property(failed, (attempt) => {
    const isExhausted = attempt.attemptsRun >= attempt.maximumAttempts;
    return !(mayRetry(attempt) && attempt.failure === AttemptFailure.broken && isExhausted);
  });
  fc.assert(property, { seed: 4 });
  t.end();
});

t.test('retries after a refusal, unless the time is too short', (t) => {
  const refused = {
    failure: AttemptFailure.refused,
    retryPolicy: RetryPolicy.once,
    attemptsRun: 0,
    maximumAttempts: 1,
    remainingMs: 500,
  };
  t.ok(mayRetry(refused));
  t.notOk(mayRetry({ ...refused, remainingMs: 5 }));
  t.end();
});
