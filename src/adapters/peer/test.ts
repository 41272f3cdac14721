import fc from 'fast-check';
import t from 'tap';
import type { PeerMessage } from '../../ports/peers.js';
import { createFrameReader, encodeFrame } from './frames.js';
import { parsePeerMessage } from './messages.js';

const request: PeerMessage = { type: 'loanRequest', id: 'a', organisation: 'acme', units: 5 };

t.test('reads frames regardless of how the bytes are split into chunks', (t) => {
  const property = fc.property(
    fc.integer({ min: 1, max: 40 }),
    fc.integer({ min: 1, max: 5 }),
    (size, count) => {
      const bytes = Buffer.concat(Array.from({ length: count }, () => encodeFrame(request)));
      const read = createFrameReader(parsePeerMessage);
      const messages: PeerMessage[] = [];
      for (let start = 0; start < bytes.length; start += size)
        messages.push(...read(bytes.subarray(start, start + size)));
      return messages.length === count && messages.every(({ type }) => type === 'loanRequest');
    },
  );
  fc.assert(property, { seed: 5 });
  t.end();
});

// Guards against reports and views that name each optional field without having it.
t.test('leaves out fields that are undefined', (t) => {
  t.same(encodeFrame({ ...request, limits: undefined }), encodeFrame(request));
  t.end();
});

// Guards against a frame that is joined with each of its chunks when its length arrived in parts.
t.test('joins a frame twice at most however it arrives', (t) => {
  const frame = encodeFrame({ type: 'filler', text: 'x'.repeat(200_000) });
  const read = createFrameReader((value) => value);
  let joined = 0;
  const concat = Buffer.concat.bind(Buffer);
  Buffer.concat = (list, length) => {
    const whole = concat(list, length);
    joined += whole.length;
    return whole;
  };
  t.teardown(() => {
    Buffer.concat = concat;
  });
  const messages = read(frame.subarray(0, 1));
  for (let start = 1; start < frame.length; start += 100)
    messages.push(...read(frame.subarray(start, start + 100)));
  t.equal(messages.length, 1);
  t.ok(joined <= 2 * frame.length, `${joined} bytes joined for ${frame.length}`);
  t.end();
});

t.test('rejects an oversized frame and one that contains no valid message', (t) => {
  t.throws(() => createFrameReader(parsePeerMessage, 8)(encodeFrame(request)), {
    name: 'PeerProtocolError',
  });
  const wrong = encodeFrame({ ...request, units: -1 });
  t.throws(() => createFrameReader(parsePeerMessage)(wrong), { name: 'PeerProtocolError' });
  const noise = Buffer.concat([Buffer.from([0, 0, 0, 3]), Buffer.from([255, 255, 255])]);
  t.throws(() => createFrameReader(parsePeerMessage)(noise), { name: 'PeerProtocolError' });
  t.end();
});
