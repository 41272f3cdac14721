import t from 'tap';
import { RepeatRule } from '../../../ports/serving.js';
import { computePatience } from './index.js';

const stream = (objectiveMs: number) => ({
  route: {
    name: 'chat',
    hostName: 'h',
    prefix: '/',
    isStream: true,
    repeat: RepeatRule.once,
    timeoutMs: 15_000,
    objectiveMs,
    priority: 0,
    shares: [],
    maximumAttempts: 1,
    isOpen: false,
  },
});

t.test('waits for a stream no longer than its caller does', (t) => {
  t.equal(computePatience(stream(400), 15_000), 2600);
  t.equal(computePatience(stream(1500), 15_000), 7800);
  t.equal(computePatience(stream(1500), 700), 700);
  t.end();
});

t.test('lets a plain request wait to its deadline', (t) => {
  const { route } = stream(100);
  t.equal(computePatience({ route: { ...route, isStream: false } }, 2500), 2500);
  t.end();
});
