import fc from 'fast-check';
import { exportJWK, generateKeyPair } from 'jose';
import t from 'tap';
import { signBundle } from '../../decisions/bundle/signBundle/index.js';
import type { Bundle } from '../../decisions/bundle/types.js';
import { signWithdrawal } from '../../decisions/keys/signWithdrawal/index.js';
import { createControlState } from './index.js';

const silent = { info: () => undefined, warn: () => undefined, error: () => undefined };
const digest = 'a'.repeat(64);

async function createOperator(kid: string) {
  const pair = await generateKeyPair('EdDSA', { extractable: true });
  const publicKey = { ...(await exportJWK(pair.publicKey)), kid };
  return {
    privateKey: { ...(await exportJWK(pair.privateKey)), kid },
    keySet: { keys: [publicKey] },
  };
}

const buildBundle = (version: number): Bundle => ({
  version,
  services: [{ name: 's', engines: 2, memoryBytes: 10, window: 1 }],
  models: [{ name: 'oak', version: 'v1', service: 's', bytes: 1, replicas: 1, class: 'standard' }],
  adapters: [],
  plainServices: [],
  routes: [],
  organisations: [{ name: 'o', rate: 100, burst: 100, keys: [digest] }],
  limits: { loadsPerSecond: 1, loadsAtOnce: 1, adaptersInFlight: 1 },
});

const operator = await createOperator('one');
const signed = await Promise.all(
  [1, 2, 3, 4].map((version) => signBundle(buildBundle(version), operator.privateKey)),
);

t.test(
  'never reverts to a lower version, whatever the order in which bundles are offered',
  async () => {
    const order = fc.array(fc.nat(3), { maxLength: 12 });
    const property = fc.asyncProperty(order, async (offers) => {
      const controlState = createControlState(operator.keySet, silent);
      const versions: number[] = [];
      controlState.watch(({ accepted }) => versions.push(accepted?.bundle.version ?? 0));
      await Promise.all(offers.map((index) => controlState.offerBundle(signed[index] ?? '')));
      const highest = Math.max(0, ...offers.map((index) => index + 1));
      const isRising = versions.every((version, index) => version > (versions[index - 1] ?? 0));
      return isRising && (controlState.get().accepted?.bundle.version ?? 0) === highest;
    });
    await fc.assert(property, { seed: 8, numRuns: 100 });
  },
);

t.test('refuses bundles and withdrawals that were not signed by an operator', async (t) => {
  const stranger = await createOperator('one');
  const controlState = createControlState(operator.keySet, silent);
  t.notOk(await controlState.offerBundle(await signBundle(buildBundle(9), stranger.privateKey)));
  const withdrawal = { digests: [digest], bundleVersion: 1, signedAt: 0 };
  t.notOk(
    await controlState.offerWithdrawals([await signWithdrawal(withdrawal, stranger.privateKey)]),
  );
  t.notOk(
    await controlState.offerBundle(await signWithdrawal(withdrawal, operator.privateKey)),
    'a signed withdrawal offered as a bundle',
  );
});

t.test('keeps a key withdrawn when a newer bundle still lists it', async (t) => {
  const controlState = createControlState(operator.keySet, silent);
  await controlState.offerBundle(signed[0] ?? '');
  t.equal(controlState.get().keyIndex.get(digest), 'o');
  const withdrawal = { digests: [digest], bundleVersion: 1, signedAt: 0 };
  t.ok(
    await controlState.offerWithdrawals([await signWithdrawal(withdrawal, operator.privateKey)]),
  );
  t.notOk(controlState.get().keyIndex.has(digest));
  await controlState.offerBundle(signed[2] ?? '');
  t.notOk(controlState.get().keyIndex.has(digest));
});
