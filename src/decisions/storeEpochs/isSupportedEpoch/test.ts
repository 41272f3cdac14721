import t from 'tap';
import { isSupportedEpoch } from './index.js';

t.test('takes what revisions can be encoded with', (t) => {
  t.ok([0, 1, 131_071].every(isSupportedEpoch));
  t.notOk([-1, 1.5, 131_072, Infinity, NaN].some(isSupportedEpoch));
  t.end();
});
