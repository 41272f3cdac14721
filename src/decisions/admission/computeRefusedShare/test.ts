import t from 'tap';
import { computeRefusedShare } from './index.js';

const none = { refusedShare: 0, lastingShare: 0 };
const round = { elapsedMs: 200, maximum: 0.9 };

/** Applies the same pressure for a time; returns the level at its end. */
function runRounds(rounds: number, pressure: number, from = none) {
  let level = from;
  for (let index = 0; index < rounds; index += 1)
    level = computeRefusedShare({ previous: level, pressure, ...round });
  return level;
}

t.test('rises in one round and falls over seconds', (t) => {
  const raised = runRounds(1, 2);
  t.ok(raised.refusedShare >= 0.25);
  const after = runRounds(5, 0.9, raised);
  t.ok(after.refusedShare > 0.05 && after.refusedShare < raised.refusedShare);
  t.equal(runRounds(5, 0, raised).refusedShare, 0, 'sooner when nothing waits');
  t.end();
});

// Guards against a level that adds up the ups of a varying queue and never its downs.
t.test('does not rise with a queue that varies around a sound mean', (t) => {
  let level = none;
  for (let index = 0; index < 300; index += 1)
    level = computeRefusedShare({ previous: level, pressure: index % 2 ? 1.3 : 0.5, ...round });
  t.ok(level.refusedShare < 0.1, String(level.refusedShare));
  t.end();
});

t.test('holds the pressure at the border in a lasting shortage, up to the maximum', (t) => {
  const lasting = runRounds(50, 1.5);
  t.ok(runRounds(20, 1, lasting).refusedShare > 0.15);
  t.equal(runRounds(500, 3).refusedShare, 0.9);
  t.end();
});
