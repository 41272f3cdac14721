import t from 'tap';
import { RetryPolicy, type ServingRoute } from '../../../ports/serving.js';
import { computeMaximumWaitMs } from './index.js';

const route: ServingRoute = {
  name: 'lookup',
  hostName: 'depots.example',
  prefix: '/lookup/',
  isStream: false,
  retryPolicy: RetryPolicy.idempotent,
  timeoutMs: 3000,
  latencyTargetMs: 400,
  priority: 1,
  shares: [],
  maximumAttempts: 2,
  isAuthExempt: false,
};

t.test(
  'an urgent request waits for half of its time, a stream for half of what its caller bears',
  (t) => {
    t.equal(computeMaximumWaitMs({ route }, 3000, true), 1500);
    t.equal(computeMaximumWaitMs({ route: { ...route, isStream: true } }, 15_000, true), 1000);
    t.equal(computeMaximumWaitMs({ route: { ...route, isStream: true } }, 500, true), 250);
    t.equal(computeMaximumWaitMs({ route }, 3000, false), 750, 'less urgent');
    t.end();
  },
);
