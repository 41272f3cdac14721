import t from 'tap';
import { computeKnownTokens } from './index.js';

// Guards against a preferred engine that counts as holding a prefix that it has never seen.
t.test('counts what is known as far as the weight says', (t) => {
  const tokens = { sharedTokens: 6300, cachedTokens: 300 };
  t.equal(computeKnownTokens(tokens), 6300);
  t.equal(computeKnownTokens({ ...tokens, knownWeight: 1 }), 300);
  t.equal(computeKnownTokens({ ...tokens, knownWeight: 0.5 }), 3300);
  t.equal(computeKnownTokens({ ...tokens, knownWeight: 1, usesAgeMs: Infinity }), 6300);
  t.end();
});
