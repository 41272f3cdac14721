import t from 'tap';
import { RetryPolicy } from '../../../ports/serving.js';
import { computeMaximumDelayMs } from './index.js';

const stream = (latencyTargetMs: number) => ({
  route: {
    name: 'chat',
    hostName: 'h',
    prefix: '/',
    isStream: true,
    retryPolicy: RetryPolicy.once,
    timeoutMs: 15_000,
    latencyTargetMs,
    priority: 0,
    shares: [],
    maximumAttempts: 1,
    isAuthExempt: false,
  },
});

t.test('limits the delay of a stream to the time after which its caller leaves', (t) => {
  t.equal(computeMaximumDelayMs(stream(400), 15_000), 2600);
  t.equal(computeMaximumDelayMs(stream(1500), 15_000), 7800);
  t.equal(computeMaximumDelayMs(stream(1500), 700), 700);
  t.end();
});

t.test('lets a request that is not a stream wait until its deadline', (t) => {
  const { route } = stream(100);
  t.equal(computeMaximumDelayMs({ route: { ...route, isStream: false } }, 2500), 2500);
  t.end();
});
