import t from 'tap';
import { mergeToldColdTime } from './index.js';

t.test('a response that overtakes another does not end a cold time', (t) => {
  const known = { warmAtMs: 9000, sentAtMs: 100, receivedAtMs: 200 };
  const before = { warmAtMs: 150, sentAtMs: 50, receivedAtMs: 250 };
  t.equal(mergeToldColdTime(known, before), known);
  const after = { warmAtMs: 300, sentAtMs: 210, receivedAtMs: 300 };
  t.equal(mergeToldColdTime(known, after), after);
  t.equal(mergeToldColdTime(before, known), known, 'a later end counts');
  t.end();
});
