import t from 'tap';
import type { Bundle } from '#dist/decisions/bundle/types.js';
import { sendCall } from './support/callers.js';
import { startFleet, type Fleet } from './support/fleet.js';
import { waitUntil } from './support/waitUntil.js';

/** Three engines of 78 bytes: the least that the bundle check allows for two copies of oak and one of pine. */
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

/** Probes every model and adapter until told to stop; returns how often one was not reachable. */
function startProbing(fleet: Fleet): () => Promise<string[]> {
  const failures: string[] = [];
  let isDone = false;
  const probe = async (model: string): Promise<void> => {
    for (let count = 0; !isDone; count += 1) {
      const origin = fleet.entries[count % fleet.entries.length]?.origin ?? '';
      const body = { model, prompt: `probe ${count}`, max_tokens: 2 };
      const answer = await sendCall(`${origin}/v1/completions`, { key: fleet.keys.dryline, body });
      if (answer.status !== 200) failures.push(`${model}: ${answer.status} ${answer.text}`);
    }
  };
  const probes = ['oak', 'pine', 'depot'].map(probe);
  return async () => {
    isDone = true;
    await Promise.all(probes);
    return failures;
  };
}

async function waitUntilRolled(fleet: Fleet, version: string): Promise<void> {
  await waitUntil(
    `${version} serves alone`,
    async () => {
      const reply = await fetch(`${fleet.entries[0]?.operatorOrigin ?? ''}/status`);
      const { residency } = (await reply.json()) as {
        residency: Record<string, { version: string; state: string }[]>;
      };
      return ['oak', 'pine', 'depot'].every((name) => {
        const copies = residency[name] ?? [];
        return (
          copies.length > 0 &&
          copies.every((copy) => copy.version === version && copy.state === 'resident')
        );
      });
    },
    60_000,
  );
}

for (const checksFencing of [true, false])
  t.test(
    `rolls under faults without overcommit, engines ${checksFencing ? 'check' : 'ignore'} fencing`,
    async (t) => {
      const fleet = await startFleet({
        placements: 2,
        plainServers: 0,
        bundle: { services, models: models('v1'), adapters: adapters('v1') },
        engineOptions: { memoryBytes: 78, checksFencing },
      });
      t.teardown(() => fleet.stop());
      await fleet.waitUntilResident('oak', 'pine', 'depot');
      const endProbing = startProbing(fleet);
      const engines = [...fleet.engines.values()];

      // Orders and their answers get lost, and others come late, while a bundle rolls.
      engines[0]?.setFaults({ loseOrders: 2, loseOrderAnswers: 1 });
      engines[1]?.setFaults({ delayOrdersMs: 150 });
      engines[2]?.setFaults({ loseOrderAnswers: 2 });
      await fleet.accept({ version: 2, models: models('v2'), adapters: adapters('v2') });
      await waitUntilRolled(fleet, 'v2');

      // The active placement process is paused beyond its lease in the middle of the next roll.
      await fleet.accept({ version: 3, models: models('v3'), adapters: adapters('v3') });
      const leader = fleet.placements.find(({ lines }) =>
        lines.some(({ msg }) => msg === 'leadership acquired'),
      );
      leader?.kill('SIGSTOP');
      const other = fleet.placements.find((placement) => placement !== leader);
      await other?.waitForLine(({ msg }) => msg === 'leadership acquired');
      leader?.kill('SIGCONT');
      await waitUntilRolled(fleet, 'v3');

      // The service goes away: placement stands still and routing goes on; then a roll ends after it is back.
      fleet.keyValue.setFaults({ outage: true });
      await waitUntil('some placement process noticed', () =>
        fleet.placements.some(({ lines }) => lines.some(({ msg }) => msg === 'watch failed')),
      );
      fleet.keyValue.setFaults({ outage: false });
      await fleet.accept({ version: 4, models: models('v4'), adapters: adapters('v4') });
      other?.kill('SIGKILL');
      await waitUntilRolled(fleet, 'v4');

      t.strictSame([...new Set(await endProbing())], []);
      t.equal(countOvercommits(fleet), 0);
    },
  );

t.test('replaces the copies of an engine that died, and takes it back empty', async (t) => {
  const fleet = await startFleet({
    plainServers: 0,
    placementFlags: ['--unreachable-ms', '500'],
    bundle: { services, models: models('v1'), adapters: adapters('v1') },
    engineOptions: { memoryBytes: 78 },
  });
  t.teardown(() => fleet.stop());
  await fleet.waitUntilResident('oak', 'pine', 'depot');
  const reply = await fetch(`${fleet.entries[0]?.operatorOrigin ?? ''}/status`);
  const { residency } = (await reply.json()) as { residency: Record<string, { engine: string }[]> };
  const lost = residency.pine?.[0]?.engine ?? '';
  await fleet.engines.get(lost)?.close();
  const probe = () =>
    sendCall(`${fleet.entries[0]?.origin ?? ''}/v1/completions`, {
      key: fleet.keys.dryline,
      body: { model: 'pine', prompt: 'again', max_tokens: 1 },
    });
  await waitUntil('pine answers from another engine', async () => (await probe()).status === 200);
  await fleet.startEngine(lost);
  await waitUntil('the engine is used again', async () => {
    const status = await fetch(`${fleet.entries[0]?.operatorOrigin ?? ''}/status`);
    const now = (await status.json()) as {
      residency: Record<string, { engine: string; state: string }[]>;
    };
    return Object.values(now.residency)
      .flat()
      .every(({ state }) => state === 'resident');
  });
  t.equal(countOvercommits(fleet), 0);
});
