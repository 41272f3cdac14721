import t from 'tap';
import { computeExcessBacklogMs, computeServicePressure } from './index.js';

const idle = {
  active: 3,
  slots: 8,
  backlogTokens: 0,
  urgentBacklogTokens: 0,
  reservedTokens: 0,
  memoryTokens: 100_000,
};
const targets = { urgentTargetMs: 500, targetMs: 1000, lateShare: 0 };
const TARGET_TOKENS = 38_700; // prompt tokens that an engine processes within the target

// Guards against refusals while capacity is free, whatever recent streams were like.
t.test('an idle service has no pressure, also with late streams', (t) => {
  t.equal(computeServicePressure([idle, idle], { ...targets, lateShare: 1 }), 0);
  t.equal(computeServicePressure([], targets), 0);
  t.end();
});

// Guards against a mean over all engines that hides the wait for a busy model.
t.test('counts the backlog that a waiting request meets', (t) => {
  const busy = { ...idle, backlogTokens: 3 * TARGET_TOKENS };
  t.ok(computeServicePressure([busy, idle, idle, idle], targets) > 1.5);
  t.ok(computeServicePressure([{ ...idle, backlogTokens: TARGET_TOKENS }], targets) < 1);
  t.ok(
    computeServicePressure([{ ...idle, backlogTokens: TARGET_TOKENS }], {
      ...targets,
      lateShare: 0.2,
    }) > 1,
  );
  t.ok(computeExcessBacklogMs([busy], targets) > 2000);
  t.end();
});

t.test('urgent prompts, slots and memory count as well', (t) => {
  const urgent = { ...idle, backlogTokens: 30_000, urgentBacklogTokens: 30_000 };
  t.ok(computeServicePressure([urgent], targets) > 1);
  t.ok(computeServicePressure([{ ...idle, active: 10 }], targets) > 1);
  t.ok(computeServicePressure([{ ...idle, active: 5, reservedTokens: 99_000 }], targets) > 1);
  t.end();
});
