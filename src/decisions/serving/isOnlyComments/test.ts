import t from 'tap';
import { isOnlyComments } from './index.js';

t.test('tells comments from events', (t) => {
  for (const text of ['', '\n\n', ': keep\n\n', ': one\r\n: two: three\r\n\r\n'])
    t.ok(isOnlyComments(Buffer.from(text)), JSON.stringify(text));
  for (const text of ['data: x\n\n', ': keep\nid: 3\n\n', '\ndata\n\n', 'event: end\r\n\r\n'])
    t.notOk(isOnlyComments(Buffer.from(text)), JSON.stringify(text));
  t.end();
});
