import { setTimeout as wait } from 'node:timers/promises';
import t, { type Test } from 'tap';
import {
  buildConfiguration,
  sendEvenly,
  sendToHost,
  startPlatformFleet,
  type PlatformFleet,
} from './support/platformFleet.js';
import type { PlatformEngine } from './support/platformEngine.js';
import { StoreMode } from './support/platformStore.js';
import { waitUntil } from './support/waitUntil.js';

const DRAINING_DELAY_MS = 2000;
const OUTAGE_MS = 500;
const REWRITE_DELAY_MS = 1000; // operators and servers write again within two seconds

type Fleet = PlatformFleet & { first: PlatformEngine; second: PlatformEngine };

async function startFleet(t: Test, hosts: number, service = 'certs'): Promise<Fleet> {
  const models = service === 'llm' ? { oak: [] } : undefined;
  const fleet = await startPlatformFleet(
    hosts,
    ['s1', 's2'].map((id) => ({ id, service, models })),
    { maximumStalenessMs: DRAINING_DELAY_MS, storeEpoch: 3 },
  );
  t.teardown(fleet.close);
  const [first, second] = fleet.engines as [PlatformEngine, PlatformEngine];
  return { ...fleet, first, second };
}

const findLeader = ({ store }: Pick<Fleet, 'store'>) =>
  store.read('bronzelanding/command') as { holder: string } | undefined;

/** Takes the store away for a moment and brings it back from its copy. */
async function runRestore({ store }: Pick<Fleet, 'store'>): Promise<void> {
  store.setMode(StoreMode.busy);
  await wait(OUTAGE_MS);
  store.restore();
  store.setMode(StoreMode.normal);
}

/** Sends requests until an adapter of an engine is loaded by an order. */
async function sendUntilLoaded({ hosts }: Pick<Fleet, 'hosts'>, adapter: string): Promise<void> {
  const [host] = hosts as [(typeof hosts)[number]];
  await waitUntil(`adapter ${adapter} is loaded`, async () => {
    const headers = { model: `oak/${adapter}` };
    return (await sendToHost(host, '/chat/1', { body: 'x', headers })).status === 200;
  });
}

t.test('fencing tokens of orders rise over restores of the store', async (t) => {
  const fleet = await startFleet(t, 2, 'llm');
  fleet.store.takeCopy();
  for (let index = 0; index < 200; index += 1) fleet.store.put('op/other', `${index}`);
  await waitUntil('a host leads', () => findLeader(fleet) !== undefined);
  await sendUntilLoaded(fleet, 'a1');
  await runRestore(fleet);
  await sendUntilLoaded(fleet, 'a2');
  await runRestore(fleet);
  await sendUntilLoaded(fleet, 'a3');
  for (const { receivedOrders } of fleet.engines) {
    const fences = receivedOrders.map(({ fence }) => fence);
    t.strictSame(
      fences,
      [...fences].sort((one, other) => one - other),
    );
  }
  const fences = fleet.engines.flatMap(({ receivedOrders }) =>
    receivedOrders.map(({ fence }) => fence),
  );
  t.ok(new Set(fences).size >= 3, 'one for each epoch');
});

t.test('no two hosts order within the handover around a restore', async (t) => {
  const handoverMs = 300;
  const fleet = await startFleet(t, 3, 'llm');
  fleet.store.takeCopy();
  await waitUntil('a host leads', () => findLeader(fleet) !== undefined);
  await sendUntilLoaded(fleet, 'a1');
  await runRestore(fleet);
  for (const adapter of ['a2', 'a3', 'a4', 'a5']) await sendUntilLoaded(fleet, adapter);
  for (const { receivedOrders } of fleet.engines)
    receivedOrders.forEach(({ atMs, holder }, index) => {
      const before = receivedOrders[index - 1];
      if (before === undefined || before.holder === holder) return;
      t.ok(atMs - before.atMs >= handoverMs, `${before.holder} to ${holder}`);
    });
  t.pass('orders of one host follow each other');
});

t.test('hosts follow a change whose revision was given out before the restore', async (t) => {
  const fleet = await startFleet(t, 2);
  fleet.store.takeCopy();
  for (let index = 0; index < 20; index += 1) fleet.store.put('op/other', `${index}`);
  await wait(1000);
  fleet.store.setMode(StoreMode.busy);
  await wait(OUTAGE_MS);
  fleet.store.restore();
  fleet.store.put('op/config', buildConfiguration(7, { tenants: [] }));
  for (let index = 0; index < 60; index += 1) fleet.store.put('op/other', `${index}`);
  fleet.store.setMode(StoreMode.normal);
  await wait(DRAINING_DELAY_MS);
  for (const host of fleet.hosts)
    t.equal((await sendToHost(host, '/lookup/1')).status, 401, 'the key is withdrawn');
});

t.test('a configuration never goes back with the store', async (t) => {
  const fleet = await startFleet(t, 2);
  fleet.store.takeCopy();
  fleet.store.put('op/config', buildConfiguration(9, { tenants: [] }));
  const isKeyGone = async () =>
    (await Promise.all(fleet.hosts.map((host) => sendToHost(host, '/lookup/1')))).every(
      ({ status }) => status === 401,
    );
  await waitUntil('the key is withdrawn', isKeyGone);
  await runRestore(fleet);
  const endsAtMs = performance.now() + 2000;
  while (performance.now() < endsAtMs) t.ok(await isKeyGone());
});

t.test('a server that had left is none when its entry is back with the store', async (t) => {
  const fleet = await startFleet(t, 2);
  fleet.store.takeCopy();
  fleet.store.remove('servers/s1');
  await wait(DRAINING_DELAY_MS);
  const before = fleet.first.receivedRequests.length;
  await runRestore(fleet);
  for (const { status } of await sendEvenly(fleet, 500)) t.equal(status, 200);
  t.equal(fleet.first.receivedRequests.length - before, 0);
});

t.test('a server that the copy lacks has its time to register again', async (t) => {
  const fleet = await startFleet(t, 2);
  fleet.store.remove('servers/s2');
  await wait(DRAINING_DELAY_MS);
  fleet.store.takeCopy();
  fleet.store.remove('servers/s1');
  fleet.store.put('servers/s2', fleet.second.buildRegistration());
  await wait(DRAINING_DELAY_MS);
  await runRestore(fleet);
  const rewritten = wait(REWRITE_DELAY_MS).then(fleet.store.rewrite);
  for (const { status } of await sendEvenly(fleet, 400)) t.equal(status, 200);
  await rewritten;
});

t.test('a new incarnation is not replaced by the one in the copy', async (t) => {
  const fleet = await startFleet(t, 2);
  fleet.store.remove('servers/s2');
  await wait(DRAINING_DELAY_MS);
  fleet.store.takeCopy();
  await wait(5); // the incarnations differ by their start in milliseconds
  fleet.first.restart();
  fleet.store.put('servers/s1', fleet.first.buildRegistration());
  await wait(DRAINING_DELAY_MS);
  await runRestore(fleet);
  const seen = fleet.first.receivedRequests.length;
  for (const { status } of await sendEvenly(fleet, 200)) t.equal(status, 200);
  t.ok(fleet.first.receivedRequests.length > seen);
});
