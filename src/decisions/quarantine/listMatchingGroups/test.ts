import t from 'tap';
import { listMatchingGroups } from './index.js';

const groups = [{ parts: ['bad', 'beside'] }, { parts: ['other'] }];

t.test('matches prompts that hold every part of a group', (t) => {
  t.same(listMatchingGroups(groups, ['first', 'bad', 'beside']), [groups[0]]);
  t.same(listMatchingGroups(groups, ['other', 'bad', 'beside']), groups);
  t.end();
});

t.test('lets prompts with some parts of a group pass', (t) => {
  t.same(listMatchingGroups(groups, ['first', 'beside']), []);
  t.same(listMatchingGroups(groups, []), []);
  t.end();
});
