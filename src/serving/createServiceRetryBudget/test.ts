import fc from 'fast-check';
import t from 'tap';
import { createServiceRetryBudget } from './index.js';

const step = fc.record({ afterMs: fc.nat(400), requests: fc.nat(5), retries: fc.nat(10) });

t.test('limits the retries of the fleet in every window', (t) => {
  const hostCount = 4;
  const property = fc.property(fc.array(step, { minLength: 50, maxLength: 150 }), (steps) => {
    let nowMs = 0;
    const clock = { monotonicMs: () => nowMs, wallMs: () => nowMs };
    const budgets = Array.from({ length: hostCount }, () =>
      createServiceRetryBudget({ clock, ratio: 0.2, fixedRetries: 54, windowMs: 10_000 }),
    );
    for (const budget of budgets) budget.setHostCount(hostCount);
    const requests: number[] = [];
    const retries: number[] = [];
    steps.forEach((item, index) => {
      nowMs += item.afterMs;
      const budget = budgets[index % hostCount];
      for (let count = 0; count < item.requests; count += 1) {
        budget?.recordRequest('llm');
        requests.push(nowMs);
      }
      for (let count = 0; count < item.retries; count += 1)
        if (budget?.tryTakeRetry('llm') === true) retries.push(nowMs);
    });
    const count = (times: number[], from: number, to: number): number =>
      times.filter((atMs) => atMs >= from && atMs < to).length;
    return retries.every((from) => {
      const within = count(requests, from, from + 10_000);
      const before = count(requests, from - 10_000, from);
      const around = count(requests, from - 5000, from + 5000);
      return count(retries, from, from + 10_000) <= 0.2 * Math.max(within, before, around) + 54;
    });
  });
  fc.assert(property, { seed: 17, numRuns: 60 });
  t.end();
});

t.test('keeps a separate budget for each service', (t) => {
  const clock = { monotonicMs: () => 0, wallMs: () => 0 };
  const budget = createServiceRetryBudget({ clock, ratio: 0, fixedRetries: 2, windowMs: 10_000 });
  budget.setHostCount(1);
  t.ok(budget.tryTakeRetry('a'));
  t.notOk(budget.tryTakeRetry('a'));
  t.ok(budget.tryTakeRetry('b'));
  t.end();
});
