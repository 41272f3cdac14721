import t from 'tap';
import { parseStream, sendCallerRequest } from './support/callers.js';
import { readStatus, startFleet, type TestEntryHost } from './support/fleet.js';
import { waitUntil } from './support/waitUntil.js';

const names = ['dryline', 'lijado', 'one', 'two', 'three'];
const fleet = await startFleet({ entries: 3, organisations: names.map((name) => ({ name })) });
t.teardown(() => fleet.stop());
t.setTimeout(100_000);
await fleet.waitUntilResident('oak', 'pine', 'depot');
const [first] = fleet.entries;

function askModels(entry: TestEntryHost, key = ''): Promise<number> {
  return sendCallerRequest(`${entry.origin}/v1/models`, { key }).then(({ status }) => status);
}

async function giveToEntry(entry: TestEntryHost | undefined, key: string): Promise<void> {
  const body = { signed: [await fleet.signWithdrawal(key)] };
  const answer = await sendCallerRequest(`${entry?.operatorOrigin ?? ''}/withdrawals`, { body });
  if (answer.status !== 200) throw new Error(answer.text);
}

async function waitUntilWithdrawn(key: string): Promise<void> {
  await waitUntil('the key is withdrawn on every host', async () => {
    const statuses = await Promise.all(fleet.entries.map((entry) => askModels(entry, key)));
    return statuses.every((status) => status === 401);
  });
}

t.test('shows no backend server a key, and believes no organisation header', async (t) => {
  const key = fleet.keys.dryline ?? '';
  const headers = { 'bronzelanding-organisation': 'lijado', cookie: key, 'x-api-key': key };
  const body = { model: 'oak', prompt: 'secret?', max_tokens: 2 };
  t.equal(
    (await sendCallerRequest(`${first?.origin ?? ''}/v1/completions`, { key, body, headers }))
      .status,
    200,
  );
  const plain = await sendCallerRequest(`${first?.origin ?? ''}/certificates/9?depot=4`, {
    key,
    headers,
  });
  t.match(JSON.parse(plain.text), { organisation: 'dryline' });
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
});

t.test(
  'withdraws a key on every host, also for a running stream on a kept-alive connection',
  async (t) => {
    const key = fleet.keys.one ?? '';
    const body = { model: 'oak', prompt: 'withdraw me', max_tokens: 4000, stream: true };
    const running = sendCallerRequest(`${first?.origin ?? ''}/v1/completions`, { key, body });
    await waitUntil('the stream runs', () =>
      [...fleet.engines.values()].some(({ getStats }) =>
        getStats().recorded.some((record) => record.includes('withdraw me')),
      ),
    );
    await giveToEntry(fleet.entries[2], key);
    await waitUntilWithdrawn(key);
    const stream = parseStream(await running);
    t.notOk(stream.isComplete);
    t.equal(stream.error?.code, 'key_withdrawn');
  },
);

t.test('withdraws a key while the service is away', async (t) => {
  const key = fleet.keys.two ?? '';
  fleet.keyValueStandin.setFaults({ outage: true });
  await giveToEntry(first, key);
  await waitUntilWithdrawn(key);
  t.equal(await askModels(fleet.getEntry(1), fleet.keys.dryline), 200, 'service goes on');
});

t.test(
  'knows bundle, withdrawals and placement on a host that starts during the outage',
  async (t) => {
    const late = await fleet.startEntry('entry-late');
    await waitUntil(
      'the late host serves',
      async () => (await askModels(late, fleet.keys.dryline)) === 200,
    );
    await waitUntil(
      'the late host knows the withdrawals',
      async () => (await askModels(late, fleet.keys.two)) === 401,
    );
    await waitUntil('the late host answers a completion on loans', async () => {
      const body = { model: 'pine', prompt: 'late', max_tokens: 2 };
      const answer = await sendCallerRequest(`${late.origin}/v1/completions`, {
        key: fleet.keys.dryline,
        body,
      });
      return answer.status === 200;
    });
    t.equal((await readStatus(late)).bundleVersion, 1);
  },
);

t.test(
  'keeps keys withdrawn after the outage and through a bundle that still lists them',
  async (t) => {
    fleet.keyValueStandin.setFaults({ outage: false });
    await fleet.updateBundle({ version: 2 });
    await waitUntil('version 2 is in force', async () => {
      const statuses = await Promise.all(fleet.entries.map(readStatus));
      return statuses.every(({ bundleVersion }) => bundleVersion === 2);
    });
    for (const entry of fleet.entries) t.equal(await askModels(entry, fleet.keys.two), 401);
  },
);

t.test('takes a withdrawal through the service as well', async (t) => {
  const { withdrawKeys } = await import('#dist/coordination/withdrawKeys/index.js');
  const { systemClock } = await import('#dist/adapters/clock/index.js');
  const key = fleet.keys.three ?? '';
  const { keyValueService: service, operator } = fleet;
  await withdrawKeys(await fleet.signWithdrawal(key), {
    service,
    operatorKeys: operator.keySet,
    clock: systemClock,
  });
  await waitUntilWithdrawn(key);
  t.pass('withdrawn');
});

t.test('refuses new requests on a host that is cut off from service and peers', async (t) => {
  const [, second, third] = fleet.entries;
  fleet.keyValueStandin.setFaults({ outage: true });
  for (const entry of fleet.entries) if (entry !== first) entry.process.kill('SIGSTOP');
  await waitUntil('the lone host refuses', async () => {
    const answer = await sendCallerRequest(`${first?.origin ?? ''}/v1/models`, {
      key: fleet.keys.dryline,
    });
    return answer.status === 503 && answer.outcome === 'not-run';
  });
  for (const entry of fleet.entries) if (entry !== first) entry.process.kill('SIGCONT');
  await waitUntil(
    'it serves again with its peers',
    async () => (await askModels(fleet.getEntry(0), fleet.keys.dryline)) === 200,
  );
  t.ok(second !== undefined && third !== undefined);
  fleet.keyValueStandin.setFaults({ outage: false });
});
