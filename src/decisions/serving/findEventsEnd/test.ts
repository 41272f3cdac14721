import t from 'tap';
import { findEventsEnd } from './index.js';

const find = (chunk: string, previous = ''): number =>
  findEventsEnd(Buffer.from(chunk), Buffer.from(previous));

t.test('finds the last blank line of a chunk', (t) => {
  t.equal(find('data: 1\n\ndata: 2\r\n\r\ndata'), 20);
  t.equal(find('data: 1\n'), 0);
  t.equal(find(''), 0);
  t.end();
});

t.test('finds a blank line that began before the chunk', (t) => {
  t.equal(find('\ndata', 'x\n'), 1);
  t.equal(find('\r\ndata', 'x\n'), 2);
  t.equal(find('\ndata', '\n\r'), 1);
  t.equal(find('\ndata', 'x\r'), 0);
  t.end();
});
