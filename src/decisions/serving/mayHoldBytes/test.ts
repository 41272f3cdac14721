import t from 'tap';
import { MAX_EVENT_BYTES, MAX_LARGE_BYTES, mayHoldBytes, SMALL_HELD_BYTES } from './index.js';

const RESPONSES = 256;
const STEP_BYTES = 4096;

/** Grows the events of many responses in turns; returns the most bytes that are held at once. */
function replayEndlessEvents(mayHold: typeof mayHoldBytes): number {
  let held = Array.from({ length: RESPONSES }, () => 0);
  let most = 0;
  while (held.length > 0) {
    const kept: number[] = [];
    let largeBytes = held.reduce((sum, bytes) => sum + Math.max(0, bytes - SMALL_HELD_BYTES), 0);
    for (const bytes of held) {
      largeBytes -= Math.max(0, bytes - SMALL_HELD_BYTES);
      const next = bytes + STEP_BYTES;
      if (!mayHold({ bytes: next, otherLargeBytes: largeBytes })) continue;
      largeBytes += Math.max(0, next - SMALL_HELD_BYTES);
      kept.push(next);
    }
    held = kept;
    most = Math.max(
      most,
      held.reduce((sum, bytes) => sum + bytes, 0),
    );
  }
  return most;
}

// The load of four engines of 64 requests each that never end an event: a bound for each event held 268 MB.
t.test('bounds what many events without end hold together', (t) => {
  const before = replayEndlessEvents(({ bytes }) => bytes <= MAX_EVENT_BYTES);
  t.equal(before, RESPONSES * MAX_EVENT_BYTES);
  const after = replayEndlessEvents(mayHoldBytes);
  t.ok(after <= MAX_LARGE_BYTES + RESPONSES * SMALL_HELD_BYTES, `${after} bytes`);
  t.end();
});

t.test('lets usual events go on beside long ones', (t) => {
  t.ok(mayHoldBytes({ bytes: 2000, otherLargeBytes: MAX_LARGE_BYTES }));
  t.notOk(mayHoldBytes({ bytes: 100_000, otherLargeBytes: MAX_LARGE_BYTES }));
  t.ok(mayHoldBytes({ bytes: MAX_EVENT_BYTES, otherLargeBytes: 0 }));
  t.notOk(mayHoldBytes({ bytes: MAX_EVENT_BYTES + 1, otherLargeBytes: 0 }));
  t.end();
});
