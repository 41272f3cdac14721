import t from 'tap';
import { computeHoldProbability } from './index.js';

// Guards against a certainty that hosts do not have, and against NaN for an engine never used.
t.test('falls as the tokens processed since fill the memory', (t) => {
  const memoryTokens = 100_000;
  const probabilities = [0, 50_000, 100_000, 150_000, Infinity].map((sinceTokens) =>
    computeHoldProbability({ sinceTokens, memoryTokens }),
  );
  t.same(probabilities, [1, 1, 0.5, 0, 0]);
  t.equal(computeHoldProbability({ sinceTokens: 0, memoryTokens: 0 }), 0);
  t.end();
});
