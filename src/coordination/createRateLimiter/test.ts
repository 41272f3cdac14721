import t from 'tap';
import { LOAN_DEADLINE_MS, SLOT_COUNT } from '../../decisions/rate/constants/index.js';
import { computeLendableBurst, toUnits } from '../../decisions/rate/convertTokens/index.js';
import { createRateLimiter, type RateLimiter, type RateLimiterOptions } from './index.js';

const acme = { name: 'acme', rate: 1000, burst: 500 };
const lendableBurst = computeLendableBurst(acme.rate, acme.burst);

interface TestClock {
  nowMs: number;
}

function createLimiter(
  clock: TestClock,
  change: Partial<RateLimiterOptions> = {},
  slots = SLOT_COUNT,
): RateLimiter {
  let count = 0;
  const limiter = createRateLimiter({
    clock: { monotonicMs: () => clock.nowMs, wallMs: () => 0 },
    listLenders: () => [],
    requestLoan: () => Promise.resolve(undefined),
    sendSettlement: () => undefined,
    createId: () => String(++count),
    wait: (milliseconds) => {
      clock.nowMs += milliseconds;
      return Promise.resolve();
    },
    ...change,
  });
  limiter.setOrganisations([acme]);
  limiter.setLeaseExpiry(1_000_000);
  limiter.addSlots(slots, { acme: toUnits(lendableBurst) });
  return limiter;
}

const admit = (limiter: RateLimiter, tokens: number, deadlineAtMs = 0) =>
  limiter.admit({ organisation: 'acme', tokens, deadlineAtMs });

t.test('admits up to the burst and then refuses with a retry time', async (t) => {
  const limiter = createLimiter({ nowMs: 0 });
  t.ok((await admit(limiter, lendableBurst)).admitted);
  const refused = await admit(limiter, 100);
  t.match(refused, { admitted: false, reason: 'rateExceeded', retryAfterMs: 100 });
  t.match(await admit(limiter, acme.burst), { reason: 'exceedsBurst' });
});

t.test('queues a request until tokens are refilled within its deadline', async (t) => {
  const clock = { nowMs: 0 };
  const limiter = createLimiter(clock);
  await admit(limiter, lendableBurst);
  t.ok((await admit(limiter, 100, 500)).admitted);
  t.ok(clock.nowMs >= 100);
});

t.test('refunds unused tokens once at settlement', async (t) => {
  const limiter = createLimiter({ nowMs: 0 });
  const first = await admit(limiter, 400);
  if (first.admitted) {
    first.admission.settle(100);
    first.admission.settle(0);
  }
  t.equal(limiter.getLevels().acme, toUnits(lendableBurst - 100));
});

t.test('borrows missing units and settles the loan with the units used', async (t) => {
  const settled: number[] = [];
  const limiter = createLimiter(
    { nowMs: 0 },
    {
      listLenders: () => [{ host: 'b', units: toUnits(300) }],
      requestLoan: (_host, { id, units }) =>
        Promise.resolve({ type: 'loanReply', id, units, level: 0 }),
      sendSettlement: (_host, { units }) => settled.push(units),
    },
  );
  await admit(limiter, lendableBurst);
  const loaned = await admit(limiter, 200);
  t.ok(loaned.admitted);
  if (loaned.admitted) loaned.admission.settle(150);
  t.strictSame(settled, [toUnits(150)]);
});

t.test('refuses a request whose loans arrive after the deadline', async (t) => {
  const clock = { nowMs: 0 };
  const limiter = createLimiter(
    clock,
    {
      listLenders: () => [{ host: 'b', units: toUnits(300) }],
      requestLoan: (_host, { id, units }) => {
        clock.nowMs += LOAN_DEADLINE_MS + 1;
        return Promise.resolve({ type: 'loanReply', id, units, level: 0 });
      },
    },
    0,
  );
  t.notOk((await admit(limiter, 200)).admitted);
});

t.test('lends and admits nothing once the lease on the slots has expired', async (t) => {
  const clock = { nowMs: 0 };
  const limiter = createLimiter(clock);
  limiter.setLeaseExpiry(1000);
  clock.nowMs = 1000;
  t.equal(
    limiter.grantLoan({ type: 'loanRequest', id: 'x', organisation: 'acme', units: 5 }).units,
    0,
  );
  t.notOk((await admit(limiter, 1)).admitted);
  t.equal(limiter.countSlots(), 0);
});

t.test('admits a large request before smaller ones that arrived later', async (t) => {
  const clock = { nowMs: 0 };
  const limiter = createLimiter(clock);
  await admit(limiter, lendableBurst);
  const order: string[] = [];
  await Promise.all([
    admit(limiter, 400, 10_000).then(() => order.push('large')),
    admit(limiter, 1, 10_000).then(() => order.push('small')),
  ]);
  t.strictSame(order, ['large', 'small']);
});

t.test('tries a queued request again when its timer fires early', async (t) => {
  const clock = { nowMs: 0 };
  const limiter = createLimiter(clock, {
    wait: (milliseconds) => {
      clock.nowMs += milliseconds * 0.9;
      return Promise.resolve();
    },
  });
  await admit(limiter, lendableBurst);
  t.ok((await admit(limiter, 100, 500)).admitted);
});
