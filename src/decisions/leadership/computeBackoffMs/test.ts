import t from 'tap';
import { computeBackoffMs } from './index.js';

t.test('doubles up to the maximum', (t) => {
  const waits = [1, 2, 3, 4, 5, 60].map((failures) => computeBackoffMs(failures, 0.5));
  t.strictSame(waits, [300, 600, 1200, 2400, 2400, 2400]);
  t.end();
});

t.test('spreads hosts that fail together', (t) => {
  t.equal(computeBackoffMs(1, 0), 150);
  t.ok(computeBackoffMs(1, 0.999) < 450);
  t.end();
});

t.test('keeps hosts that lost the store at one moment below its rate', (t) => {
  const hosts = 300;
  let calls = 0;
  for (let host = 0; host < hosts; host += 1) {
    let atMs = 0;
    for (let failures = 1; atMs < 10_000; failures += 1) {
      atMs += computeBackoffMs(failures, (host * 0.618) % 1);
      if (atMs > 3000 && atMs < 10_000) calls += 1;
    }
  }
  t.ok(calls / 7 < hosts / 2, `${calls} calls in seven seconds`);
  t.end();
});
