import fc from 'fast-check';
import t from 'tap';
import { decodeRevision } from '../decodeRevision/index.js';
import { encodeRevision } from './index.js';

const arbitraryEpoch = fc.integer({ min: 1, max: 131_071 });
const arbitraryRevision = fc.integer({ min: 1, max: 68_719_476_735 });

t.test('rises with each epoch, however far the revisions go back', (t) => {
  fc.assert(
    fc.property(arbitraryEpoch, arbitraryRevision, arbitraryRevision, (epoch, before, after) => {
      const encoded = encodeRevision(epoch, before);
      return (
        Number.isSafeInteger(encoded) &&
        (epoch === 131_071 || encodeRevision(epoch + 1, after) > encoded)
      );
    }),
  );
  t.end();
});

t.test('is decoded to what it was made of', (t) => {
  fc.assert(
    fc.property(arbitraryEpoch, arbitraryRevision, (epoch, revision) => {
      const decoded = decodeRevision(encodeRevision(epoch, revision));
      return decoded.epoch === epoch && decoded.revision === revision;
    }),
  );
  t.end();
});

t.test('is the revision itself where the store has no epochs', (t) => {
  t.equal(encodeRevision(0, 41), 41);
  t.strictSame(decodeRevision(41), { epoch: 0, revision: 41 });
  t.end();
});

t.test('refuses numbers beyond its range', (t) => {
  t.throws(() => encodeRevision(131_072, 1), RangeError);
  t.throws(() => encodeRevision(1, 2 ** 36), RangeError);
  t.end();
});
