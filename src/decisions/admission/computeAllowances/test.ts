import t from 'tap';
import { computeAllowances } from './index.js';

const usual = new Map([
  ['flood', 100],
  ['calm', 100],
  ['large', 800],
]);
const options = { usual, refusedShare: 0.5, largeWork: 0 };

// Guards against organisations that are refused for a wave of all callers, or that are new.
t.test('raises allowances with a common wave, and not with one organisation', (t) => {
  const flood = { ...options, recent: new Map([...usual, ['flood', 1500]]) };
  t.equal(computeAllowances(flood).get('flood')?.allowance, 200);
  t.equal(computeAllowances(flood).get('calm')?.allowance, 200, 'half of an equal share');
  const wave = { ...options, recent: new Map([...usual].map(([name, work]) => [name, 3 * work])) };
  t.equal(computeAllowances(wave).get('large')?.allowance, 3600);
  const withNew = computeAllowances({ ...flood, recent: new Map([...flood.recent, ['new', 50]]) });
  t.ok((withNew.get('new')?.allowance ?? 0) > 50);
  t.notOk(computeAllowances({ ...options, recent: new Map([['', 9]]) }).has(''));
  t.end();
});
