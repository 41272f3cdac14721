import fc from 'fast-check';
import t from 'tap';
import type { Bundle } from '../../bundle/types.js';
import type { Withdrawal } from '../types.js';
import { computeWithdrawalsDigest, dropObsoleteWithdrawals, mergeWithdrawals } from './index.js';

const withdrawal = (digest: string, bundleVersion = 1): Withdrawal => ({
  digests: [digest],
  bundleVersion,
  signer: 'operator',
  signedAt: 0,
  signed: `${digest}.${bundleVersion}`,
});
const withdrawalLists = fc.array(
  fc.constantFrom('a', 'b', 'c', 'd').map((digest) => withdrawal(digest)),
);

t.test('merges to the same set in either order', (t) => {
  const property = fc.property(withdrawalLists, withdrawalLists, (one, other) => {
    const mergedDigest = computeWithdrawalsDigest(mergeWithdrawals(one, other));
    return mergedDigest === computeWithdrawalsDigest(mergeWithdrawals(other, one));
  });
  fc.assert(property, { seed: 3 });
  t.end();
});

t.test('keeps a withdrawal until a later bundle no longer lists its key', (t) => {
  const bundle = (version: number, keys: string[]): Bundle =>
    ({ version, organisations: [{ name: 'o', rate: 1, burst: 1, keys }] }) as unknown as Bundle;
  const known = [withdrawal('a', 3)];
  t.strictSame(
    dropObsoleteWithdrawals(known, bundle(2, [])),
    known,
    'a host with an older bundle keeps it',
  );
  t.strictSame(dropObsoleteWithdrawals(known, bundle(4, ['a'])), known, 'still listed');
  t.strictSame(dropObsoleteWithdrawals(known, bundle(4, [])), [], 'no longer listed');
  t.end();
});
