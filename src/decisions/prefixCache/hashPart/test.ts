import t from 'tap';
import { hashPart } from './index.js';

// Guards against hashes that differ between hosts, or that a message does not accept.
t.test('hashes to the values that FNV-1a has for these texts', (t) => {
  t.equal(hashPart(''), 0x811c9dc5);
  t.equal(hashPart('a'), 0xe40c292c);
  t.equal(hashPart('foobar'), 0xbf9cf968);
  t.end();
});
