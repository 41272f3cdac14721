import { setTimeout as wait } from 'node:timers/promises';
import t, { type Test } from 'tap';
import { startHostProcess, type HostProcess } from './support/hostProcess.js';
import { startPlatformEngine, type PlatformEngine } from './support/platformEngine.js';
import { buildConfiguration, sendToPort } from './support/platformFleet.js';
import { startPlatformStore, type PlatformStore } from './support/platformStore.js';
import { waitUntil } from './support/waitUntil.js';

const EVACUATE_MS = 5000;
const KEY = 'op/evacuate/b';

interface Fleet {
  store: PlatformStore;
  hosts: Map<string, HostProcess>;
  /** The server in data centre b. */
  evacuated: PlatformEngine;
}

async function startFleet(t: Test): Promise<Fleet> {
  const store = await startPlatformStore();
  store.put('op/config', buildConfiguration(1));
  const engines = await Promise.all(
    ['c', 'b'].map((zone) =>
      startPlatformEngine({ id: `s-${zone}`, zone, service: 'certs', serviceTimeMs: 20 }),
    ),
  );
  for (const engine of engines) store.put(`servers/${engine.id}`, engine.buildRegistration());
  const [, evacuated] = engines as [PlatformEngine, PlatformEngine];
  const hosts = new Map<string, HostProcess>();
  for (const name of ['host-1', 'host-2', 'host-3'])
    hosts.set(name, await startHostProcess(store, name, { 'evacuation-delay-ms': EVACUATE_MS }));
  t.teardown(async () => {
    for (const { process } of hosts.values()) process.kill('SIGKILL');
    await Promise.all([...hosts.values()].map(({ process }) => process.exited));
    await Promise.all(engines.map((engine) => engine.close()));
    await store.close();
  });
  await waitUntil('a host leads', () => findLeader(store) !== undefined);
  await wait(1000); // connections to all hosts, and a first view
  return { store, hosts, evacuated };
}

const findLeader = (store: PlatformStore): string | undefined =>
  (store.read('bronzelanding/command') as { holder: string } | undefined)?.holder;

/** Sends requests to hosts for a time, a few at once so that no server gets all; returns how many were served. */
async function sendFor(hosts: Iterable<HostProcess>, milliseconds: number): Promise<number> {
  let served = 0;
  const endsAtMs = performance.now() + milliseconds;
  while (performance.now() < endsAtMs)
    for (const { callerPort } of hosts) {
      const requests = Array.from({ length: 6 }, () => sendToPort(callerPort, '/lookup/1'));
      served += (await Promise.all(requests)).filter(({ status }) => status === 200).length;
    }
  return served;
}

const countSince = ({ receivedRequests }: PlatformEngine, atMs: number): number =>
  receivedRequests.filter((request) => request.atMs > atMs).length;

t.test('an evacuation is in force in time when the leader fails as it is written', async (t) => {
  const { store, hosts, evacuated } = await startFleet(t);
  const leader = findLeader(store) ?? '';
  t.ok((await sendFor(hosts.values(), 500)) > 0);
  t.ok(countSince(evacuated, -Infinity) > 0);
  hosts.get(leader)?.process.kill('SIGKILL');
  store.put(KEY, {});
  const inForceAtMs = performance.now() + EVACUATE_MS;
  const others = [...hosts].flatMap(([name, host]) => (name === leader ? [] : [host]));
  t.ok((await sendFor(others, EVACUATE_MS + 1500)) > 0);
  t.equal(countSince(evacuated, inForceAtMs), 0);
});

t.test('a host that was paused sends nothing to a data centre evacuated meanwhile', async (t) => {
  const { store, hosts, evacuated } = await startFleet(t);
  t.ok((await sendFor(hosts.values(), 500)) > 0);
  for (const name of [...hosts.keys()].sort((one) => (one === findLeader(store) ? 1 : -1))) {
    const host = hosts.get(name);
    if (host === undefined) continue;
    host.process.kill('SIGSTOP');
    await wait(100);
    store.put(KEY, {});
    await wait(EVACUATE_MS);
    const resumedAtMs = performance.now();
    // These wait in the buffers of the paused process.
    const waiting = Array.from({ length: 20 }, () => sendToPort(host.callerPort, '/lookup/1'));
    await wait(100);
    host.process.kill('SIGCONT');
    for (const { status } of await Promise.all(waiting)) t.ok(status === 200 || status === 503);
    t.ok((await sendFor([host], 1000)) > 0);
    t.equal(countSince(evacuated, resumedAtMs), 0, name);
    store.remove(KEY);
    await waitUntil('the server is used again', async () => {
      await sendFor(hosts.values(), 200);
      return countSince(evacuated, resumedAtMs) > 0;
    });
  }
});
