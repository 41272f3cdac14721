import t from 'tap';
import { buildExpectedText, parseStream, sendCallerRequest } from './support/callers.js';
import { startFleet } from './support/fleet.js';
import { waitUntil } from './support/waitUntil.js';

const fleet = await startFleet({ entries: 2, engines: 3, engineOptions: { tokenMs: 5 } });
t.teardown(() => fleet.stop());
t.setTimeout(100_000);
await fleet.waitUntilResident('oak', 'pine', 'depot');
const [first, second] = fleet.entries;
const key = fleet.keys.dryline;
const servers = [...fleet.plainServers.values()];

function sendLookup(): Promise<{ status: number }> {
  return sendCallerRequest(`${first?.origin ?? ''}/certificates/7`, { key });
}

function countReceived(index: number): number {
  return servers[index]?.stats.recorded.length ?? 0;
}

t.test('sends no further requests to a server that responded that it is draining', async (t) => {
  servers[0]?.setFaults({ leaving: true });
  await waitUntil('the server has refused once', async () => {
    t.equal((await sendLookup()).status, 200);
    return (servers[0]?.stats.refused ?? 0) > 0;
  });
  const before = countReceived(0);
  for (let count = 0; count < 40; count += 1) t.equal((await sendLookup()).status, 200);
  t.equal(countReceived(0), before);
  servers[0]?.setFaults({ leaving: false });
});

t.test('sends no further requests to a server that the host list marks as leaving', async (t) => {
  const port = servers[1]?.port ?? 0;
  const host = {
    id: 'plain-2',
    role: 'plain',
    address: '127.0.0.1',
    port,
    dataCentre: 'one',
    service: 'certificates',
  } as const;
  await fleet.startPlainServer('plain-3');
  fleet.platformStandin.setHost({ ...host, leaving: true });
  await waitUntil('requests go to other servers', async () => {
    const before = countReceived(1);
    for (let count = 0; count < 20; count += 1) await sendLookup();
    return countReceived(1) === before;
  });
  const before = countReceived(1);
  for (let count = 0; count < 40; count += 1) t.equal((await sendLookup()).status, 200);
  t.equal(countReceived(1), before);
});

t.test('releases the slots of an entry host in a planned stop', async (t) => {
  const lateEntry = await fleet.startEntry('entry-late');
  await waitUntil('the late host holds slots', async () => {
    const response = await fetch(`${lateEntry.operatorOrigin}/status`);
    const { hosts } = (await response.json()) as { hosts: { host: string; slots: number }[] };
    return (hosts.find(({ host }) => host === 'entry-late')?.slots ?? 0) > 0;
  });
  lateEntry.process.kill('SIGTERM');
  t.equal(await lateEntry.process.exited, 0);
  const sharesEntry = await fleet.service.get('shares');
  const { body } = JSON.parse(sharesEntry?.value ?? '{}') as {
    body: { holders: { host: string }[] };
  };
  t.notOk(body.holders.some(({ host }) => host === 'entry-late'));
});

t.test(
  'completes all requests in a planned stop with running streams during a key-value service outage',
  async (t) => {
    const body = { model: 'oak', prompt: 'stop', max_tokens: 200, stream: true };
    const streams = Array.from({ length: 10 }, () =>
      sendCallerRequest(`${second?.origin ?? ''}/v1/completions`, { key, body }),
    );
    const certificates = Array.from({ length: 5 }, (_unused, index) =>
      sendCallerRequest(`${second?.origin ?? ''}/certificates`, {
        key,
        body: { id: `stop-${index}` },
      }),
    );
    await waitUntil(
      'the streams run',
      () =>
        [...fleet.engines.values()].reduce((sum, { getStats }) => sum + getStats().requests, 0) >=
        10,
    );
    fleet.keyValueStandin.setFaults({ outage: true });
    second?.process.kill('SIGTERM');
    await waitUntil('the host is not ready', async () => {
      const response = await fetch(`${second?.origin ?? ''}/readyz`).catch(() => undefined);
      return response === undefined || response.status === 503;
    });
    for (const response of await Promise.all(streams)) {
      const stream = parseStream(response);
      t.ok(stream.isComplete);
      t.equal(stream.text, buildExpectedText('stop', 200));
    }
    for (const response of await Promise.all(certificates)) t.equal(response.status, 200);
    t.equal(await second?.process.exited, 0);
    fleet.keyValueStandin.setFaults({ outage: false });
  },
);
