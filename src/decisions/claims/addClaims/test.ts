import fc from 'fast-check';
import t from 'tap';
import { CLAIM_RETENTION_MS, MAX_CLAIMS_PER_PARTITION } from '../constants/index.js';
import { finishClaims, releaseClaims } from '../finishClaims/index.js';
import { ClaimState, type ClaimPartition } from '../types.js';
import { addClaims } from './index.js';

const request = (hash: string, claimId: string) => ({ hash, claimId, requestDigest: 'digest' });

t.test('grants at most one claim for a hash, in any order and batching', (t) => {
  const claims = fc.array(fc.record({ hash: fc.constantFrom('a', 'b', 'c'), claimId: fc.uuid() }));
  const property = fc.property(fc.array(claims), (batches) => {
    let partition: ClaimPartition = {};
    const claimed: string[] = [];
    for (const batch of batches) {
      const added = addClaims(
        partition,
        batch.map(({ hash, claimId }) => request(hash, claimId)),
        0,
      );
      partition = added.partition;
      for (const { hash, claimId } of batch)
        if (added.outcomes.get(claimId)?.kind === 'claimed') claimed.push(hash);
    }
    return new Set(claimed).size === claimed.length;
  });
  fc.assert(property, { seed: 2, numRuns: 300 });
  t.end();
});

t.test('grants the same claim id again after a lost reply', (t) => {
  const first = addClaims({}, [request('a', 'mine')], 0);
  t.strictSame(addClaims(first.partition, [request('a', 'mine')], 5).outcomes.get('mine'), {
    kind: 'claimed',
  });
  t.equal(
    addClaims(first.partition, [request('a', 'other')], 5).outcomes.get('other')?.kind,
    'held',
  );
  t.end();
});

t.test('drops expired claims and refuses new ones when the partition is full', (t) => {
  const old = addClaims({}, [request('a', 'mine')], 0).partition;
  t.equal(
    addClaims(old, [request('a', 'other')], CLAIM_RETENTION_MS).outcomes.get('other')?.kind,
    'claimed',
  );
  const many = Array.from({ length: MAX_CLAIMS_PER_PARTITION }, (_unused, index) =>
    request(`h${index}`, `c${index}`),
  );
  const full = addClaims({}, many, 0).partition;
  t.equal(addClaims(full, [request('one more', 'late')], 0).outcomes.get('late')?.kind, 'full');
  t.end();
});

t.test('finishes and releases a claim only for its own claim id', (t) => {
  const { partition } = addClaims({}, [request('a', 'mine')], 0);
  const answer = { status: 200, contentType: 'text/plain', body: 'eA==' };
  const foreign = finishClaims(partition, [
    { hash: 'a', claimId: 'other', state: ClaimState.done, answer },
  ]);
  t.equal(foreign.a?.state, ClaimState.running);
  const done = finishClaims(partition, [
    { hash: 'a', claimId: 'mine', state: ClaimState.done, answer },
  ]);
  t.strictSame(done.a?.answer, answer);
  const large = { ...answer, body: 'x'.repeat(6000) };
  t.equal(
    finishClaims(partition, [{ hash: 'a', claimId: 'mine', state: ClaimState.done, answer: large }])
      .a?.answer,
    undefined,
  );
  t.strictSame(releaseClaims(partition, new Set(['other'])), partition);
  t.strictSame(releaseClaims(partition, new Set(['mine'])), {});
  t.end();
});
