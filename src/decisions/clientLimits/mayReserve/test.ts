import t from 'tap';
import { mayReserve, MemoryPurpose } from './index.js';

const limitBytes = 32_000_000;

/** Counts the bodies of 100,000 bytes that are admitted one after the other. */
function countAdmitted(purpose: MemoryPurpose): number {
  let count = 0;
  let usedBytes = 0;
  while (
    count < 1500 &&
    mayReserve({ limitBytes, usedBytes, largeBytes: usedBytes }, 100_000, purpose)
  ) {
    usedBytes += 100_000;
    count += 1;
  }
  return count;
}

// The load of 1,500 callers a byte short of 100,000: without a budget all 1,500 were admitted.
t.test('leaves a reserve to small bodies under many large ones', (t) => {
  t.equal(countAdmitted(MemoryPurpose.large), 240);
  const usedBytes = 24_000_000;
  t.ok(mayReserve({ limitBytes, usedBytes, largeBytes: usedBytes }, 1000, MemoryPurpose.small));
  t.notOk(
    mayReserve(
      { limitBytes, usedBytes: limitBytes, largeBytes: usedBytes },
      1000,
      MemoryPurpose.small,
    ),
  );
  t.end();
});

t.test('admits a single large body at every size', (t) => {
  t.ok(
    mayReserve({ limitBytes, usedBytes: 0, largeBytes: 0 }, 2 * limitBytes, MemoryPurpose.large),
  );
  t.end();
});
