import t from 'tap';
import { mayAbandonAttempt } from './index.js';

const preempted = {
  silentMs: 7000,
  isHeadSent: true,
  isServerSilent: false,
  latencyTargetMs: 3000,
  isStream: true,
};

t.test('keeps a stream that a busy engine has preempted', (t) => {
  t.notOk(mayAbandonAttempt(preempted));
  t.ok(mayAbandonAttempt({ ...preempted, isServerSilent: true }));
  t.end();
});

t.test('gives up an attempt without a response only after twice the latency target', (t) => {
  const unanswered = { ...preempted, isHeadSent: false };
  t.ok(mayAbandonAttempt(unanswered));
  t.notOk(mayAbandonAttempt({ ...unanswered, silentMs: 5900 }));
  t.end();
});

t.test('allows for the processing of a long prompt', (t) => {
  const unanswered = { ...preempted, isHeadSent: false, latencyTargetMs: 300 };
  t.notOk(mayAbandonAttempt({ ...unanswered, silentMs: 1400 }));
  t.ok(mayAbandonAttempt({ ...unanswered, silentMs: 700, isStream: false }));
  t.end();
});
