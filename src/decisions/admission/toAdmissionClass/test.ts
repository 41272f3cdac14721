import t from 'tap';
import { toAdmissionClass } from './index.js';

// Guards against views that are too long for a message with a route for each target.
t.test('groups any routes into a bounded number of classes', (t) => {
  const classes = new Set<string>();
  for (let priority = -1; priority < 100; priority += 0.5)
    for (let latencyTargetMs = 1; latencyTargetMs < 1e9; latencyTargetMs *= 1.3)
      classes.add(JSON.stringify(toAdmissionClass({ priority, latencyTargetMs })));
  t.ok(classes.size <= 150, `${classes.size}`);
  t.same(toAdmissionClass({ priority: 1, latencyTargetMs: 607 }), { priority: 1, targetMs: 512 });
  t.end();
});
