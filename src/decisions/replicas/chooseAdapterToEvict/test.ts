import t from 'tap';
import { chooseAdapterToEvict } from './index.js';

const createAdapter = (name: string, lastRequestedAtMs: number, isInUse = false) => ({
  name,
  lastRequestedAtMs,
  isInUse,
});

t.test('evicts the least recently requested adapter', (t) => {
  t.equal(
    chooseAdapterToEvict(
      [createAdapter('m/a', 300), createAdapter('m/b', 100), createAdapter('m/c', 200)],
      1000,
    )?.name,
    'm/b',
  );
  t.end();
});

t.test('keeps adapters that are in use or were requested recently', (t) => {
  t.equal(
    chooseAdapterToEvict([createAdapter('m/a', 100, true), createAdapter('m/b', 500)], 1000)?.name,
    'm/b',
  );
  t.equal(
    chooseAdapterToEvict([createAdapter('m/a', 100, true), createAdapter('m/b', 900)], 1000),
    undefined,
  );
  t.end();
});
