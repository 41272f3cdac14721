import t from 'tap';
import { parseStream, sendCallerRequest } from './support/callers.js';
import { readStatus, startFleet, type TestEntryHost } from './support/fleet.js';
import { waitUntil } from './support/waitUntil.js';

const organisationNames = ['dryline', 'lijado', 'one', 'two', 'three'];
const fleet = await startFleet({
  entries: 3,
  organisations: organisationNames.map((name) => ({ name })),
});
t.teardown(() => fleet.stop());
t.setTimeout(100_000);
await fleet.waitUntilResident('oak', 'pine', 'depot');
const [first] = fleet.entries;

function sendModelsRequest(entry: TestEntryHost, key = ''): Promise<number> {
  return sendCallerRequest(`${entry.origin}/v1/models`, { key }).then(({ status }) => status);
}

async function sendWithdrawal(entry: TestEntryHost | undefined, key: string): Promise<void> {
  const body = { signed: [await fleet.signWithdrawal(key)] };
  const response = await sendCallerRequest(`${entry?.operatorOrigin ?? ''}/withdrawals`, { body });
  if (response.status !== 200) throw new Error(response.text);
}

async function waitUntilWithdrawn(key: string): Promise<void> {
  await waitUntil('the key is withdrawn on every host', async () => {
    const statuses = await Promise.all(fleet.entries.map((entry) => sendModelsRequest(entry, key)));
    return statuses.every((status) => status === 401);
  });
}

t.test(
  'forwards no API key to backend servers and ignores the organisation header of callers',
  async (t) => {
    const key = fleet.keys.dryline ?? '';
    const headers = { 'bronzelanding-organisation': 'lijado', cookie: key, 'x-api-key': key };
    const body = { model: 'oak', prompt: 'secret?', max_tokens: 2 };
    t.equal(
      (await sendCallerRequest(`${first?.origin ?? ''}/v1/completions`, { key, body, headers }))
        .status,
      200,
    );
    const plainResponse = await sendCallerRequest(`${first?.origin ?? ''}/certificates/9?depot=4`, {
      key,
      headers,
    });
    t.match(JSON.parse(plainResponse.text), { organisation: 'dryline' });
    t.equal(
      (await sendCallerRequest(`${first?.origin ?? ''}/certificates/9?k=${key}`, { key })).status,
      400,
    );
    const recorded = [
      ...[...fleet.engines.values()].flatMap(({ getStats }) => getStats().recorded),
      ...[...fleet.plainServers.values()].flatMap(({ stats }) => stats.recorded),
    ];
    t.ok(recorded.length >= 2);
    t.strictSame(
      recorded.filter((record) => record.includes(key)),
      [],
    );
  },
);

t.test(
  'withdraws a key on all hosts and ends a running stream on a keep-alive connection',
  async (t) => {
    const key = fleet.keys.one ?? '';
    const body = { model: 'oak', prompt: 'withdraw me', max_tokens: 4000, stream: true };
    const running = sendCallerRequest(`${first?.origin ?? ''}/v1/completions`, { key, body });
    await waitUntil('the stream runs', () =>
      [...fleet.engines.values()].some(({ getStats }) =>
        getStats().recorded.some((record) => record.includes('withdraw me')),
      ),
    );
    await sendWithdrawal(fleet.entries[2], key);
    await waitUntilWithdrawn(key);
    const stream = parseStream(await running);
    t.notOk(stream.isComplete);
    t.equal(stream.error?.code, 'key_withdrawn');
  },
);

t.test('withdraws a key on all hosts during a key-value service outage', async (t) => {
  const key = fleet.keys.two ?? '';
  fleet.keyValueStandin.setFaults({ outage: true });
  await sendWithdrawal(first, key);
  await waitUntilWithdrawn(key);
  t.equal(
    await sendModelsRequest(fleet.getEntry(1), fleet.keys.dryline),
    200,
    'other keys stay valid',
  );
});

t.test(
  'provides bundle, withdrawals and placement to a host that starts during the outage',
  async (t) => {
    const lateEntry = await fleet.startEntry('entry-late');
    await waitUntil(
      'the late host serves requests',
      async () => (await sendModelsRequest(lateEntry, fleet.keys.dryline)) === 200,
    );
    await waitUntil(
      'the late host has applied the withdrawals',
      async () => (await sendModelsRequest(lateEntry, fleet.keys.two)) === 401,
    );
    await waitUntil('the late host serves a completion with a loan from a peer', async () => {
      const body = { model: 'pine', prompt: 'late', max_tokens: 2 };
      const response = await sendCallerRequest(`${lateEntry.origin}/v1/completions`, {
        key: fleet.keys.dryline,
        body,
      });
      return response.status === 200;
    });
    t.equal((await readStatus(lateEntry)).bundleVersion, 1);
  },
);

t.test(
  'keeps keys withdrawn after the outage and when a newer bundle still lists them',
  async (t) => {
    fleet.keyValueStandin.setFaults({ outage: false });
    await fleet.accept({ version: 2 });
    await waitUntil('version 2 is applied on all hosts', async () => {
      const statuses = await Promise.all(fleet.entries.map(readStatus));
      return statuses.every(({ bundleVersion }) => bundleVersion === 2);
    });
    for (const entry of fleet.entries) t.equal(await sendModelsRequest(entry, fleet.keys.two), 401);
  },
);

t.test('applies a withdrawal that was written to the key-value service', async (t) => {
  const { withdrawKeys } = await import('#dist/coordination/withdrawKeys/index.js');
  const { systemClock } = await import('#dist/adapters/clock/index.js');
  const key = fleet.keys.three ?? '';
  const { service: keyValueService, operator } = fleet;
  await withdrawKeys(await fleet.signWithdrawal(key), {
    service: keyValueService,
    operatorKeys: operator.keySet,
    clock: systemClock,
  });
  await waitUntilWithdrawn(key);
  t.pass('withdrawn');
});

t.test(
  'refuses new requests on a host that is isolated from the key-value service and its peers',
  async (t) => {
    const [, second, third] = fleet.entries;
    fleet.keyValueStandin.setFaults({ outage: true });
    for (const entry of fleet.entries) if (entry !== first) entry.process.kill('SIGSTOP');
    await waitUntil('the isolated host refuses requests', async () => {
      const response = await sendCallerRequest(`${first?.origin ?? ''}/v1/models`, {
        key: fleet.keys.dryline,
      });
      return response.status === 503 && response.outcome === 'not-run';
    });
    for (const entry of fleet.entries) if (entry !== first) entry.process.kill('SIGCONT');
    await waitUntil(
      'the host serves requests again once it reaches its peers',
      async () => (await sendModelsRequest(fleet.getEntry(0), fleet.keys.dryline)) === 200,
    );
    t.ok(second !== undefined && third !== undefined);
    fleet.keyValueStandin.setFaults({ outage: false });
  },
);
