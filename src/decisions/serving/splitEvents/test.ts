import fc from 'fast-check';
import t from 'tap';
import { splitEvents } from './index.js';

const stream = Buffer.from(
  [1, 2, 3].map((id) => `id: ${id}\ndata: piece ${id}\n\n`).join('') + 'id: 4\ndata: pie',
);

t.test('preserves the bytes of a stream for every chunk size', (t) => {
  const property = fc.property(
    fc.array(fc.integer({ min: 1, max: 30 }), { minLength: 1 }),
    (sizes) => {
      let tail = Buffer.alloc(0);
      let relayed = Buffer.alloc(0);
      let lastEventId: string | undefined;
      let start = 0;
      for (let index = 0; start < stream.length; index += 1) {
        const size = sizes[index % sizes.length] ?? 1;
        const events = splitEvents(Buffer.concat([tail, stream.subarray(start, start + size)]));
        relayed = Buffer.concat([relayed, events.whole]);
        tail = Buffer.from(events.rest);
        lastEventId = events.lastEventId ?? lastEventId;
        start += size;
      }
      return (
        Buffer.concat([relayed, tail]).equals(stream) &&
        lastEventId === '3' &&
        relayed.toString().endsWith('piece 3\n\n')
      );
    },
  );
  fc.assert(property, { seed: 8 });
  t.end();
});

t.test('holds back the first event until it is complete', (t) => {
  const { whole, rest, lastEventId } = splitEvents(Buffer.from('id: 1\ndata: x\n'));
  t.equal(whole.length, 0);
  t.equal(rest.length, 14);
  t.equal(lastEventId, undefined);
  t.end();
});

t.test('accepts lines that end with a carriage return and line feed', (t) => {
  const { rest, lastEventId } = splitEvents(Buffer.from('data: a\r\nid: 7\r\n\r\ndata'));
  t.equal(rest.toString(), 'data');
  t.equal(lastEventId, '7');
  t.end();
});
