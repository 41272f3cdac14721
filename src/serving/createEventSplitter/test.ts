import fc from 'fast-check';
import t from 'tap';
import { createEventSplitter } from './index.js';

const stream = Buffer.from(
  [1, 2, 3].map((id) => `id: ${id}\r\ndata: piece ${id}\n\r\n`).join('') + '\nid: 4\ndata: pie',
);
const wholeBytes = stream.indexOf('id: 4');

t.test('preserves the bytes of a stream for every chunk size', (t) => {
  const property = fc.property(
    fc.array(fc.integer({ min: 1, max: 30 }), { minLength: 1 }),
    (sizes) => {
      const splitter = createEventSplitter();
      let relayed = Buffer.alloc(0);
      let start = 0;
      for (let index = 0; start < stream.length; index += 1) {
        const size = sizes[index % sizes.length] ?? 1;
        const events = splitter.add(stream.subarray(start, start + size));
        relayed = Buffer.concat([relayed, events]);
        start += size;
      }
      return (
        relayed.equals(stream.subarray(0, wholeBytes)) &&
        splitter.countIncomplete() === stream.length - wholeBytes
      );
    },
  );
  fc.assert(property, { seed: 8 });
  t.end();
});

t.test('holds back the first event until it is complete', (t) => {
  const splitter = createEventSplitter();
  t.equal(splitter.add(Buffer.from('id: 1\ndata: x\n')).length, 0);
  t.equal(splitter.countIncomplete(), 14);
  t.equal(splitter.add(Buffer.from('\nid')).toString(), 'id: 1\ndata: x\n\n');
  t.equal(splitter.countIncomplete(), 2);
  t.end();
});

t.test('accepts lines that end with a carriage return and line feed', (t) => {
  const splitter = createEventSplitter();
  const events = splitter.add(Buffer.from('data: a\r\nid: 7\r\n\r\ndata'));
  t.equal(events.toString(), 'data: a\r\nid: 7\r\n\r\n');
  t.equal(splitter.countIncomplete(), 4);
  t.end();
});

t.test('takes a further blank line for the end of the event before it', (t) => {
  const splitter = createEventSplitter();
  splitter.add(Buffer.from('data: a\n\n'));
  t.equal(splitter.add(Buffer.from('\n')).toString(), '\n');
  t.equal(splitter.countIncomplete(), 0);
  t.end();
});
