import t from 'tap';
import { createCrashEvidence } from './index.js';

function createEvidence(isLed = true) {
  let nowMs = 1000;
  const clock = { monotonicMs: () => nowMs, wallMs: () => nowMs };
  const evidence = createCrashEvidence(clock, () => isLed);
  return { ...evidence, advance: (milliseconds: number) => void (nowMs += milliseconds) };
}

t.test('reports each crash once, with the parts that were not served since the request', (t) => {
  const evidence = createEvidence();
  evidence.recordServed(['first']);
  evidence.recordCrash('e1', ['first', 'bad'], 900);
  evidence.recordCrash('e1', ['first', 'other'], 950);
  t.match(evidence.takeReport().crashes, [{ server: 'e1', ageMs: 0, parts: ['bad', 'other'] }]);
  t.same(evidence.takeReport().crashes, []);
  t.end();
});

t.test('reports when it served the parts that the leader watches, once for each time', (t) => {
  const evidence = createEvidence();
  evidence.recordServed(['first', 'second']);
  evidence.advance(300);
  evidence.setQuarantine({ watched: ['first', 'unknown'], groups: [] }, 'leader');
  t.same(evidence.takeReport().servedParts, [['first', 300]]);
  t.same(evidence.takeReport().servedParts, []);
  evidence.recordServed(['first']);
  t.same(evidence.takeReport().servedParts, [['first', 0]]);
  t.end();
});

t.test('reports everything again to a new leader', (t) => {
  const evidence = createEvidence();
  evidence.recordCrash('e1', ['bad'], 900);
  evidence.takeReport();
  evidence.resetReported();
  t.equal(evidence.takeReport().crashes.length, 1);
  evidence.advance(61_000);
  evidence.resetReported();
  t.equal(evidence.takeReport().crashes.length, 0);
  t.end();
});

t.test('takes stored groups over only while there is no leader', (t) => {
  const stored = { watched: [], groups: [{ parts: ['bad'], crashes: 2, confirmations: 0 }] };
  const led = createEvidence();
  led.setQuarantine(stored, 'store');
  t.equal(led.listQuarantined(['bad']).length, 0);
  const alone = createEvidence(false);
  alone.setQuarantine(stored, 'store');
  t.equal(alone.listQuarantined(['first', 'bad']).length, 1);
  t.end();
});

t.test('forgets the parts that it served longest ago', (t) => {
  const evidence = createEvidence();
  const parts = Array.from({ length: 9000 }, (_, index) => `p${index}`);
  evidence.recordServed(parts);
  evidence.setQuarantine({ watched: ['p0', 'p8999'], groups: [] }, 'leader');
  t.same(
    evidence.takeReport().servedParts.map(([part]) => part),
    ['p8999'],
  );
  t.end();
});
