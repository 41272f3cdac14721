import t from 'tap';
import { planVersionKeys } from './index.js';

const v1 = { service: 'llm', version: 'v1' };
const v2 = { service: 'llm', version: 'v2' };

t.test('writes a version once', (t) => {
  t.same(planVersionKeys([v1], []), { write: [v1], retire: [] });
  t.same(planVersionKeys([v1], [{ ...v1, isRetired: false, isOutdated: false }]), {
    write: [],
    retire: [],
  });
  t.end();
});

t.test('keeps the old version until its last server is gone', (t) => {
  const recorded = [{ ...v1, isRetired: false, isOutdated: false }];
  t.same(planVersionKeys([v1, v2], recorded), { write: [v2], retire: [] });
  t.match(planVersionKeys([v2], recorded), { write: [v2], retire: [v1] });
  t.end();
});

t.test('writes a version again that comes back', (t) => {
  t.same(planVersionKeys([v1], [{ ...v1, isRetired: true, isOutdated: false }]), {
    write: [v1],
    retire: [],
  });
  t.same(planVersionKeys([], [{ ...v1, isRetired: true, isOutdated: false }]), {
    write: [],
    retire: [],
  });
  t.end();
});

t.test('tells services apart', (t) => {
  const other = { service: 'certs', version: 'v1' };
  t.same(planVersionKeys([v1, other], [{ ...v1, isRetired: false, isOutdated: false }]).write, [
    other,
  ]);
  t.end();
});

t.test('writes the versions of a copy again, also those that have left', (t) => {
  const recorded = [
    { ...v1, isRetired: true, isOutdated: true },
    { ...v2, isRetired: false, isOutdated: true },
  ];
  t.same(planVersionKeys([v2], recorded), { write: [v2], retire: [v1] });
  t.end();
});
