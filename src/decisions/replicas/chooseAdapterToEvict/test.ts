import t from 'tap';
import { chooseAdapterToEvict } from './index.js';

const held = (name: string, lastRequestedAtMs: number, isInUse = false) => ({
  name,
  lastRequestedAtMs,
  isInUse,
});

t.test('takes the adapter that was asked for longest ago', (t) => {
  t.equal(
    chooseAdapterToEvict([held('m/a', 300), held('m/b', 100), held('m/c', 200)], 1000)?.name,
    'm/b',
  );
  t.end();
});

t.test('leaves adapters in use, and those that were just asked for', (t) => {
  t.equal(chooseAdapterToEvict([held('m/a', 100, true), held('m/b', 500)], 1000)?.name, 'm/b');
  t.equal(chooseAdapterToEvict([held('m/a', 100, true), held('m/b', 900)], 1000), undefined);
  t.end();
});
