import t from 'tap';
import { isTooSlow } from './index.js';

const limits = { bodyBytesPerSecond: 256, bodySpanMs: 5000 };
const span = { startedAtMs: 1000, startBytes: 99_999 };

// A timeout that each byte restarts never ends a body of one byte a second.
t.test('ends a body that stopped or trickles, at the end of its span', (t) => {
  t.notOk(isTooSlow({ ...span, receivedBytes: 99_999 }, limits, 5999));
  t.ok(isTooSlow({ ...span, receivedBytes: 99_999 }, limits, 6000));
  t.ok(isTooSlow({ ...span, receivedBytes: 99_999 + 5 }, limits, 6000));
  t.notOk(isTooSlow({ ...span, receivedBytes: 99_999 + 1280 }, limits, 6000));
  t.end();
});
