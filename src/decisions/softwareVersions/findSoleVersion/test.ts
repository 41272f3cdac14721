import t from 'tap';
import { findSoleVersion } from './index.js';

const find = (registered: (string | undefined)[], recorded: string[]): string | undefined =>
  findSoleVersion({ registered: new Set(registered), recorded: new Set(recorded) });

t.test('finds the only version', (t) => {
  t.equal(find(['v1'], ['v1']), 'v1');
  t.equal(find([], ['v1']), 'v1');
  t.end();
});

t.test('finds none among several', (t) => {
  t.equal(find(['v1', 'v2'], ['v1']), undefined, 'the second one is new');
  t.equal(find(['v2'], ['v1', 'v2']), undefined, 'the first one has left');
  t.equal(find(['v2'], ['v1']), undefined, 'replaced while this host was away');
  t.end();
});

t.test('finds none where something is not known', (t) => {
  t.equal(find(['v1'], []), undefined, 'nothing recorded');
  t.equal(find(['v1', undefined], ['v1']), undefined, 'a server without a version');
  t.end();
});
