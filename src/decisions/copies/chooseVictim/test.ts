import t from 'tap';
import { chooseVictim } from './index.js';

const held = (name: string, wantedAtMs: number, isInUse = false) => ({ name, wantedAtMs, isInUse });

t.test('takes the adapter that was asked for longest ago', (t) => {
  t.equal(chooseVictim([held('m/a', 300), held('m/b', 100), held('m/c', 200)], 1000)?.name, 'm/b');
  t.end();
});

t.test('leaves adapters in use, and those that were just asked for', (t) => {
  t.equal(chooseVictim([held('m/a', 100, true), held('m/b', 500)], 1000)?.name, 'm/b');
  t.equal(chooseVictim([held('m/a', 100, true), held('m/b', 900)], 1000), undefined);
  t.end();
});
