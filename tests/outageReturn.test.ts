import { setTimeout as wait } from 'node:timers/promises';
import t, { type Test } from 'tap';
import { sendEvenly, startPlatformFleet, type PlatformFleet } from './support/platformFleet.js';
import type { PlatformEngine } from './support/platformEngine.js';
import { StoreMode } from './support/platformStore.js';

const DRAINING_DELAY_MS = 2000; // within which all hosts know that a server leaves
const STABLE_AFTER_MS = 3000; // after an outage, until that limit holds again
const REQUEST_INTERVAL_MS = 5; // of sendEvenly

async function startServers(
  t: Test,
  hosts: number,
): Promise<PlatformFleet & { first: PlatformEngine }> {
  const fleet = await startPlatformFleet(
    hosts,
    ['c1', 'c2'].map((id) => ({ id, service: 'certs' })),
    { maximumStalenessMs: DRAINING_DELAY_MS },
  );
  t.teardown(fleet.close);
  const [first] = fleet.engines as [PlatformEngine];
  return { ...fleet, first };
}

/** Counts the requests that a server gets when the limit since its leave has passed. */
async function countLateRequests(fleet: PlatformFleet, server: PlatformEngine): Promise<number> {
  await sendEvenly(fleet, DRAINING_DELAY_MS / REQUEST_INTERVAL_MS);
  const before = server.receivedRequests.length;
  await sendEvenly(fleet, DRAINING_DELAY_MS / REQUEST_INTERVAL_MS);
  return server.receivedRequests.length - before;
}

for (const outageMs of [4000, 9000])
  t.test(
    `sends no request to a server that leaves after an outage of ${outageMs / 1000} s`,
    async (t) => {
      const fleet = await startServers(t, 4);
      fleet.store.setMode(StoreMode.silent);
      await wait(outageMs);
      fleet.store.setMode(StoreMode.normal);
      await wait(STABLE_AFTER_MS);
      fleet.store.remove('servers/c1');
      t.equal(await countLateRequests(fleet, fleet.first), 0);
    },
  );

t.test(
  'sends no request to a server that leaves after calls to the store have failed',
  async (t) => {
    const fleet = await startServers(t, 2);
    fleet.store.setMode(StoreMode.busy);
    await wait(300);
    fleet.store.setMode(StoreMode.normal);
    await wait(STABLE_AFTER_MS);
    fleet.store.setMode(StoreMode.busy);
    await wait(700);
    fleet.store.setMode(StoreMode.normal);
    await wait(200);
    fleet.store.remove('servers/c1');
    t.equal(await countLateRequests(fleet, fleet.first), 0);
  },
);
