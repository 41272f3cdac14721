import t from 'tap';
import { findLastEventId } from './index.js';

t.test('finds the id of the last event that has one', (t) => {
  const find = (events: string): string | undefined => findLastEventId(Buffer.from(events));
  t.equal(find('id: 1\ndata: x\n\nid: 2\ndata: y\n\n'), '2');
  t.equal(find('id: 1\ndata: x\n\ndata: y\n\n'), '1');
  t.equal(find('data: a\r\nid: 7\r\n\r\n'), '7');
  t.equal(find('data: id: 7\n\n'), undefined);
  t.end();
});
