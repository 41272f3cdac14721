import t from 'tap';
import { computeModelWaitMs } from './index.js';

t.test('waits for a model that comes within what the caller accepts', (t) => {
  t.ok(computeModelWaitMs({ expectedMs: 4500, patienceMs: 10_000 }) >= 4500);
  t.ok(computeModelWaitMs({ expectedMs: 500, patienceMs: 2400 }) >= 500);
  t.end();
});

t.test('refuses at once when the model comes too late', (t) => {
  t.equal(computeModelWaitMs({ expectedMs: 4500, patienceMs: 2400 }), 0);
  t.equal(computeModelWaitMs({ expectedMs: 2300, patienceMs: 2400 }), 0);
  t.end();
});

t.test('never holds a request until its caller gives up', (t) => {
  for (let expectedMs = 0; expectedMs < 10_000; expectedMs += 100)
    for (const patienceMs of [100, 2000, 2400, 10_000])
      t.ok(computeModelWaitMs({ expectedMs, patienceMs }) < patienceMs);
  t.end();
});

interface Caller {
  atMs: number;
  deadlineMs: number;
  patienceMs: number;
}

/** Counts the callers that are served when a model becomes available at a time; each returns once. */
function countServed(
  callers: readonly Caller[],
  readyAtMs: number,
  chooseWaitMs: (request: { expectedMs: number; patienceMs: number }) => number,
): number {
  const tryAt = (caller: Caller, atMs: number, retries: number): boolean => {
    const leftMs = caller.atMs + caller.deadlineMs - atMs;
    if (leftMs <= 0) return false;
    const expectedMs = Math.max(0, readyAtMs - atMs);
    const patienceMs = Math.min(leftMs, caller.patienceMs);
    if (expectedMs <= chooseWaitMs({ expectedMs, patienceMs })) return true;
    return retries > 0 && tryAt(caller, atMs + Math.min(expectedMs, leftMs / 3), retries - 1);
  };
  return callers.filter((caller) => tryAt(caller, caller.atMs, 1)).length;
}

t.test('serves more callers than a short wait when demand moves to a model', (t) => {
  const callers = Array.from({ length: 100 }, (_, index) => {
    const isPatient = index % 8 === 0;
    return {
      atMs: index * 50,
      deadlineMs: isPatient ? 10_000 : 5000,
      patienceMs: isPatient ? 12_000 : 2400,
    };
  });
  const chooseShortWaitMs = ({ expectedMs }: { expectedMs: number }) =>
    expectedMs > 800 ? 0 : 800;
  const before = countServed(callers, 5000, chooseShortWaitMs);
  const after = countServed(callers, 5000, computeModelWaitMs);
  t.ok(after > before, `${after} of 100, with a short wait ${before}`);
  t.end();
});
