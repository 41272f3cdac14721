import t from 'tap';
import type { BackendServer } from '../../../ports/serving.js';
import { compareRegistrations } from './index.js';

const build = (startedAtMs: number | undefined, renewals: number): BackendServer => ({
  id: 's1',
  service: 'llm',
  address: '127.0.0.1',
  port: 1,
  dataCentre: 'a',
  slots: 4,
  isLeaving: false,
  models: [],
  incarnation: `s1/${startedAtMs ?? 0}`,
  startedAtMs,
  renewals,
});

t.test('a later start goes before a later renewal', (t) => {
  t.ok(compareRegistrations(build(1000, 9), build(2000, 1)) < 0);
  t.ok(compareRegistrations(build(2000, 1), build(1000, 9)) > 0);
  t.ok(compareRegistrations(build(1000, 3), build(1000, 4)) < 0);
  t.equal(compareRegistrations(build(1000, 4), build(1000, 4)), 0);
  t.end();
});

t.test('servers that name no start are compared by their renewals', (t) => {
  t.ok(compareRegistrations(build(undefined, 3), build(undefined, 4)) < 0);
  t.end();
});
