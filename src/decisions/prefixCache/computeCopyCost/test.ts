import t from 'tap';
import { computeCopyCost } from './index.js';

const copy = {
  missingTokens: 3870,
  otherHolders: 1,
  requestsPerMs: 0,
  unsharedTokens: 3870,
  copyWeight: 2,
};

// Guards against copies on every engine, and against a hot prefix that is kept on one late engine.
t.test('rises with the holders of a prefix and falls with its demand', (t) => {
  t.equal(Math.round(computeCopyCost(copy)), 200);
  t.equal(Math.round(computeCopyCost({ ...copy, otherHolders: 3 })), 600);
  t.equal(computeCopyCost({ ...copy, otherHolders: 0 }), 0);
  t.equal(computeCopyCost({ ...copy, missingTokens: 0 }), 0);
  t.equal(Math.round(computeCopyCost({ ...copy, requestsPerMs: 0.006 })), 100);
  t.equal(computeCopyCost({ ...copy, copyWeight: undefined }), 0);
  t.end();
});
