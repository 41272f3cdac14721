import t from 'tap';
import { systemClock } from '#dist/adapters/clock/index.js';
import { createEtcdKeyValueService } from '#dist/adapters/keyValueService/index.js';
import { acceptBundle } from '#dist/coordination/acceptBundle/index.js';
import { signBundle } from '#dist/decisions/bundle/signBundle/index.js';
import { readStatus, startFleet } from './support/fleet.js';
import { waitUntil } from './support/waitUntil.js';

const fleet = await startFleet({ entries: 4, engines: 1, placements: 0 });
t.teardown(() => fleet.stop());
t.setTimeout(100_000);
const { operator, service: keyValueService } = fleet;
const highestVersions = new Map<string, number>();
let revertCount = 0;

/** Reads the bundle version of each host and counts reverts to a lower version. */
async function readVersions(): Promise<number[]> {
  const statuses = await Promise.all(
    fleet.entries.map((entry) => readStatus(entry).catch(() => undefined)),
  );
  return statuses.map((status, index) => {
    const id = fleet.entries[index]?.id ?? '';
    const version = status?.bundleVersion ?? highestVersions.get(id) ?? 0;
    if (version < (highestVersions.get(id) ?? 0)) revertCount += 1;
    highestVersions.set(id, version);
    return version;
  });
}

const waitForVersion = (version: number): Promise<void> =>
  waitUntil(`version ${version} is applied on all hosts`, async () =>
    (await readVersions()).every((running) => running === version),
  );

async function acceptVersion(version: number, rate: number, targetService = keyValueService) {
  const organisations = fleet.bundle.organisations.map((organisation) => ({
    ...organisation,
    rate,
  }));
  const signed = await signBundle({ ...fleet.bundle, version, organisations }, operator.privateKey);
  return acceptBundle(signed, {
    service: targetService,
    operatorKeys: operator.keySet,
    clock: systemClock,
  });
}

t.test(
  'accepts one of two concurrent bundles and reports the current version to the other operator',
  async (t) => {
    const otherService = createEtcdKeyValueService(fleet.keyValueStandin.origin);
    const results = await Promise.all([
      acceptVersion(2, 1000),
      acceptVersion(2, 2000, otherService),
    ]);
    await otherService.close();
    t.strictSame(results.map(({ _tag }) => _tag).sort(), ['Left', 'Right']);
    const refusal = results.find(({ _tag }) => _tag === 'Left');
    t.match(refusal, { left: /version 2 stands/ });
    await waitForVersion(2);
  },
);

t.test('accepts a bundle once when the response to the write is lost', async (t) => {
  fleet.keyValueStandin.setFaults({ loseWriteAnswers: 1, loseWritesOf: 'bundle/head' });
  t.equal((await acceptVersion(3, 3000))._tag, 'Right');
  await waitForVersion(3);
});

t.test(
  'refuses a bundle that is not newer than the current version or has an invalid signature',
  async (t) => {
    t.equal((await acceptVersion(3, 4000))._tag, 'Left');
    const signed = await signBundle({ ...fleet.bundle, version: 9 }, operator.privateKey);
    const tampered = `${signed.slice(0, -4)}AAAA`;
    t.equal(
      (
        await acceptBundle(tampered, {
          service: keyValueService,
          operatorKeys: operator.keySet,
          clock: systemClock,
        })
      )._tag,
      'Left',
    );
    await waitForVersion(3);
  },
);

t.test(
  'distributes an accepted bundle through peers when the key-value service fails right after',
  async (t) => {
    const pausedEntries = fleet.entries.slice(1);
    for (const { process } of pausedEntries) process.kill('SIGSTOP');
    t.equal((await acceptVersion(4, 4000))._tag, 'Right');
    await waitUntil('one host has version 4', async () => {
      const [entry] = fleet.entries;
      return entry !== undefined && (await readStatus(entry)).bundleVersion === 4;
    });
    fleet.keyValueStandin.setFaults({ outage: true });
    for (const { process } of pausedEntries) process.kill('SIGCONT');
    await waitForVersion(4);
    const lateEntry = await fleet.startEntry('entry-late');
    await waitUntil(
      'a host that starts during the outage has version 4',
      async () => (await readStatus(lateEntry)).bundleVersion === 4,
    );
  },
);

t.test('never reverts to a lower version on any host', async (t) => {
  fleet.keyValueStandin.setFaults({ outage: false });
  t.equal((await acceptVersion(5, 5000))._tag, 'Right');
  await waitForVersion(5);
  t.equal(revertCount, 0);
});
