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
const { operator, keyValueService: service } = fleet;
const seen = new Map<string, number>();
let reverted = 0;

/** Reads the version of each host and notes any that went down. */
async function readVersions(): Promise<number[]> {
  const statuses = await Promise.all(
    fleet.entries.map((entry) => readStatus(entry).catch(() => undefined)),
  );
  return statuses.map((status, index) => {
    const id = fleet.entries[index]?.id ?? '';
    const version = status?.bundleVersion ?? seen.get(id) ?? 0;
    if (version < (seen.get(id) ?? 0)) reverted += 1;
    seen.set(id, version);
    return version;
  });
}

const waitForVersion = (version: number): Promise<void> =>
  waitUntil(`version ${version} is in force everywhere`, async () =>
    (await readVersions()).every((running) => running === version),
  );

async function accept(version: number, rate: number, through = service) {
  const organisations = fleet.bundle.organisations.map((item) => ({ ...item, rate }));
  const signed = await signBundle({ ...fleet.bundle, version, organisations }, operator.privateKey);
  return acceptBundle(signed, {
    service: through,
    operatorKeys: operator.keySet,
    clock: systemClock,
  });
}

t.test('lets one of two racing operators win and tells the other what stands', async (t) => {
  const other = createEtcdKeyValueService(fleet.keyValueStandin.origin);
  const results = await Promise.all([accept(2, 1000), accept(2, 2000, other)]);
  await other.close();
  t.strictSame(results.map(({ _tag }) => _tag).sort(), ['Left', 'Right']);
  const refused = results.find(({ _tag }) => _tag === 'Left');
  t.match(refused, { left: /version 2 stands/ });
  await waitForVersion(2);
});

t.test('accepts once though the answer of the write is lost', async (t) => {
  fleet.keyValueStandin.setFaults({ loseWriteAnswers: 1, loseWritesOf: 'bundle/head' });
  t.equal((await accept(3, 3000))._tag, 'Right');
  await waitForVersion(3);
});

t.test(
  'refuses what is not above the standing version, or not signed by an operator',
  async (t) => {
    t.equal((await accept(3, 4000))._tag, 'Left');
    const signed = await signBundle({ ...fleet.bundle, version: 9 }, operator.privateKey);
    const broken = `${signed.slice(0, -4)}AAAA`;
    t.equal(
      (await acceptBundle(broken, { service, operatorKeys: operator.keySet, clock: systemClock }))
        ._tag,
      'Left',
    );
    await waitForVersion(3);
  },
);

t.test(
  'brings a version to every host through its peers when the service goes away at once',
  async (t) => {
    const frozen = fleet.entries.slice(1);
    for (const { process } of frozen) process.kill('SIGSTOP');
    t.equal((await accept(4, 4000))._tag, 'Right');
    await waitUntil('one host has version 4', async () => {
      const [entry] = fleet.entries;
      return entry !== undefined && (await readStatus(entry)).bundleVersion === 4;
    });
    fleet.keyValueStandin.setFaults({ outage: true });
    for (const { process } of frozen) process.kill('SIGCONT');
    await waitForVersion(4);
    const late = await fleet.startEntry('entry-late');
    await waitUntil(
      'a host that starts in the outage has it',
      async () => (await readStatus(late)).bundleVersion === 4,
    );
  },
);

t.test('never went back on any host', async (t) => {
  fleet.keyValueStandin.setFaults({ outage: false });
  t.equal((await accept(5, 5000))._tag, 'Right');
  await waitForVersion(5);
  t.equal(reverted, 0);
});
