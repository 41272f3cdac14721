import t from 'tap';
import { chooseStandbys } from './index.js';

const buildCandidate = (name: string, linkMbps: number, revision: number) => ({
  name,
  linkMbps,
  revision,
});

t.test('prefers fast links, then late starts', (t) => {
  const candidates = [
    buildCandidate('weak', 14, 9),
    buildCandidate('early', 200, 1),
    buildCandidate('late', 200, 5),
    buildCandidate('fast', 1000, 2),
  ];
  t.strictSame([...chooseStandbys(candidates)], ['fast', 'late', 'early']);
  t.end();
});

t.test('takes all hosts of a small fleet', (t) => {
  t.equal(chooseStandbys([buildCandidate('only', 14, 1)]).size, 1);
  t.equal(chooseStandbys([]).size, 0);
  t.end();
});
