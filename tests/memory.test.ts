import t from 'tap';
import type { Bundle } from '#dist/decisions/bundle/types.js';
import { sendCallerRequest } from './support/callers.js';
import { startFleet, type Fleet } from './support/fleet.js';
import { waitUntil } from './support/waitUntil.js';

/** The bundle check requires at least 78 bytes on each of three engines for these replicas. */
const models = (version: string): Bundle['models'] => [
  { name: 'oak', version, service: 'moisture', bytes: 30, replicas: 2, class: 'standard' },
  { name: 'pine', version, service: 'moisture', bytes: 35, replicas: 1, class: 'standard' },
];
const adapters = (version: string): Bundle['adapters'] => [
  { name: 'depot', version, model: 'oak', bytes: 5 },
];
t.setTimeout(100_000);
const services = [{ name: 'moisture', engines: 3, memoryBytes: 78, window: 16 }];

function countOvercommits(fleet: Fleet): number {
  return [...fleet.engines.values()].reduce((sum, { getStats }) => sum + getStats().overcommits, 0);
}

/** Sends requests to each model and adapter until stopped; stopping returns the failures. */
function startProbing(fleet: Fleet): () => Promise<string[]> {
  const failures: string[] = [];
  let isStopped = false;
  const probe = async (model: string): Promise<void> => {
    for (let count = 0; !isStopped; count += 1) {
      const origin = fleet.entries[count % fleet.entries.length]?.origin ?? '';
      const body = { model, prompt: `probe ${count}`, max_tokens: 2 };
      const response = await sendCallerRequest(`${origin}/v1/completions`, {
        key: fleet.keys.dryline,
        body,
      });
      if (response.status !== 200) failures.push(`${model}: ${response.status} ${response.text}`);
    }
  };
  const probes = ['oak', 'pine', 'depot'].map(probe);
  return async () => {
    isStopped = true;
    await Promise.all(probes);
    return failures;
  };
}

async function waitUntilRolledOut(fleet: Fleet, version: string): Promise<void> {
  await waitUntil(
    `only ${version} is resident`,
    async () => {
      const response = await fetch(`${fleet.entries[0]?.operatorOrigin ?? ''}/status`);
      const { residency } = (await response.json()) as {
        residency: Record<string, { version: string; state: string }[]>;
      };
      return ['oak', 'pine', 'depot'].every((name) => {
        const replicas = residency[name] ?? [];
        return (
          replicas.length > 0 &&
          replicas.every((replica) => replica.version === version && replica.state === 'resident')
        );
      });
    },
    60_000,
  );
}

for (const checksFencing of [true, false])
  t.test(
    `completes rollouts under faults without memory overcommit, engines ${checksFencing ? 'check' : 'ignore'} fencing tokens`,
    async (t) => {
      const fleet = await startFleet({
        placements: 2,
        plainServers: 0,
        bundle: { services, models: models('v1'), adapters: adapters('v1') },
        engineOptions: { memoryBytes: 78, checksFencing },
      });
      t.teardown(() => fleet.stop());
      await fleet.waitUntilResident('oak', 'pine', 'depot');
      const stopProbing = startProbing(fleet);
      const engines = [...fleet.engines.values()];

      // Some orders and responses are lost and others are delayed during the rollout.
      engines[0]?.setFaults({ loseOrders: 2, loseOrderAnswers: 1 });
      engines[1]?.setFaults({ delayOrdersMs: 150 });
      engines[2]?.setFaults({ loseOrderAnswers: 2 });
      await fleet.accept({ version: 2, models: models('v2'), adapters: adapters('v2') });
      await waitUntilRolledOut(fleet, 'v2');

      // The leader is paused for longer than its lease during the next rollout.
      await fleet.accept({ version: 3, models: models('v3'), adapters: adapters('v3') });
      const leader = fleet.placements.find(({ lines }) =>
        lines.some(({ msg }) => msg === 'leadership acquired'),
      );
      leader?.kill('SIGSTOP');
      const otherProcess = fleet.placements.find((placement) => placement !== leader);
      await otherProcess?.waitForLine(({ msg }) => msg === 'leadership acquired');
      leader?.kill('SIGCONT');
      await waitUntilRolledOut(fleet, 'v3');

      // During an outage of the key-value service, placement stops and routing continues. A rollout
      // after the outage completes although the other placement process is killed.
      fleet.keyValueStandin.setFaults({ outage: true });
      await waitUntil('a placement process has logged the outage', () =>
        fleet.placements.some(({ lines }) => lines.some(({ msg }) => msg === 'watch failed')),
      );
      fleet.keyValueStandin.setFaults({ outage: false });
      await fleet.accept({ version: 4, models: models('v4'), adapters: adapters('v4') });
      otherProcess?.kill('SIGKILL');
      await waitUntilRolledOut(fleet, 'v4');

      t.strictSame([...new Set(await stopProbing())], []);
      t.equal(countOvercommits(fleet), 0);
    },
  );

t.test(
  'replaces the replicas of a failed engine and uses the engine again after it restarts empty',
  async (t) => {
    const fleet = await startFleet({
      plainServers: 0,
      placementFlags: ['--unreachable-ms', '500'],
      bundle: { services, models: models('v1'), adapters: adapters('v1') },
      engineOptions: { memoryBytes: 78 },
    });
    t.teardown(() => fleet.stop());
    await fleet.waitUntilResident('oak', 'pine', 'depot');
    const response = await fetch(`${fleet.entries[0]?.operatorOrigin ?? ''}/status`);
    const { residency } = (await response.json()) as {
      residency: Record<string, { engine: string }[]>;
    };
    const failedEngine = residency.pine?.[0]?.engine ?? '';
    await fleet.engines.get(failedEngine)?.close();
    const probe = () =>
      sendCallerRequest(`${fleet.entries[0]?.origin ?? ''}/v1/completions`, {
        key: fleet.keys.dryline,
        body: { model: 'pine', prompt: 'again', max_tokens: 1 },
      });
    await waitUntil('another engine serves pine', async () => (await probe()).status === 200);
    await fleet.startEngine(failedEngine);
    await waitUntil('all replicas are resident', async () => {
      const response = await fetch(`${fleet.entries[0]?.operatorOrigin ?? ''}/status`);
      const currentStatus = (await response.json()) as {
        residency: Record<string, { engine: string; state: string }[]>;
      };
      return Object.values(currentStatus.residency)
        .flat()
        .every(({ state }) => state === 'resident');
    });
    t.equal(countOvercommits(fleet), 0);
  },
);
