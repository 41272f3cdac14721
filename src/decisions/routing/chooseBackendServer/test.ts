import fc from 'fast-check';
import t from 'tap';
import { chooseBackendServer } from './index.js';

const candidate = fc.record({
  id: fc.uuid(),
  inFlight: fc.nat(20),
  window: fc.integer({ min: 1, max: 20 }),
});

t.test('never chooses a server at its concurrency limit, and always finds one below it', (t) => {
  const property = fc.property(fc.array(candidate), fc.string(), (candidates, prefix) => {
    const chosen = chooseBackendServer(candidates, { prefix, random: () => 0.5 });
    const hasCapacity = candidates.some(({ inFlight, window }) => inFlight < window);
    return chosen === undefined ? !hasCapacity : chosen.inFlight < chosen.window;
  });
  fc.assert(property, { seed: 4 });
  t.end();
});

t.test('keeps a prefix on one server until its load is too high', (t) => {
  const idle = ['a', 'b', 'c'].map((id) => ({ id, inFlight: 0, window: 8 }));
  const first = chooseBackendServer(idle, { prefix: 'survey', random: () => 0 })?.id;
  const again = chooseBackendServer(idle, { prefix: 'survey', random: () => 0.9 })?.id;
  t.equal(first, again);
  const loaded = idle.map((item) => (item.id === first ? { ...item, inFlight: 7 } : item));
  t.not(chooseBackendServer(loaded, { prefix: 'survey', random: () => 0 })?.id, first);
  t.end();
});

t.test('chooses the less loaded of two servers', (t) => {
  const two = [
    { id: 'a', inFlight: 5, window: 8 },
    { id: 'b', inFlight: 1, window: 8 },
  ];
  t.equal(chooseBackendServer(two, { random: () => 0 })?.id, 'b');
  t.end();
});
