import t from 'tap';
import { ClaimState } from '../../decisions/claims/types.js';
import {
  CallOutcome,
  createInProcessKeyValueService,
} from '../../standin/keyValueService/createInProcessKeyValueService.js';
import { createKeyValueStore } from '../../standin/keyValueService/createKeyValueStore.js';
import { createClaimStore } from './index.js';

const silent = { info: () => undefined, warn: () => undefined, error: () => undefined };
const clock = { monotonicMs: () => 0, wallMs: () => 0 };

t.test(
  'lets exactly one of several hosts claim a key when the first response is lost',
  async (t) => {
    const store = createKeyValueStore(() => 0);
    const claimStores = [0, 1, 2, 3].map((index) => {
      const callOutcomes = index === 0 ? [CallOutcome.answered, CallOutcome.responseLost] : [];
      const service = createInProcessKeyValueService(
        store,
        () => callOutcomes.shift() ?? CallOutcome.answered,
      );
      return createClaimStore({ service, clock, log: silent, batchWindowMs: 0 });
    });
    const outcomes = await Promise.all(
      claimStores.map((claimStore, index) =>
        claimStore.claim({ hash: 'abc1', requestDigest: 'd', claimId: String(index) }),
      ),
    );
    t.equal(outcomes.filter(({ kind }) => kind === 'claimed').length, 1);
    t.equal(outcomes.filter(({ kind }) => kind === 'held').length, 3);
  },
);

t.test('batches claims of one partition into one write', async (t) => {
  const store = createKeyValueStore(() => 0);
  const claimStore = createClaimStore({
    service: createInProcessKeyValueService(store),
    clock,
    log: silent,
  });
  await Promise.all(
    [1, 2, 3, 4, 5].map((index) =>
      claimStore.claim({ hash: 'abc1', requestDigest: 'd', claimId: String(index) }),
    ),
  );
  t.equal(store.getRevision(), 1);
  await claimStore.finish({ hash: 'abc1', claimId: '1', state: ClaimState.done });
  const again = await claimStore.claim({ hash: 'abc1', requestDigest: 'd', claimId: '9' });
  t.match(again, { kind: 'held', claim: { state: 'done' } });
  await claimStore.waitUntilIdle();
});
