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

function countSeen(index: number): number {
  return servers[index]?.stats.recorded.length ?? 0;
}

t.test('sends nothing more to a server that said itself that it leaves', async (t) => {
  servers[0]?.setFaults({ leaving: true });
  await waitUntil('the server has refused once', async () => {
    t.equal((await sendLookup()).status, 200);
    return (servers[0]?.stats.refused ?? 0) > 0;
  });
  const before = countSeen(0);
  for (let count = 0; count < 40; count += 1) t.equal((await sendLookup()).status, 200);
  t.equal(countSeen(0), before);
  servers[0]?.setFaults({ leaving: false });
});

t.test('sends nothing more to a server that the list shows as leaving', async (t) => {
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
  await waitUntil('calls go elsewhere', async () => {
    const before = countSeen(1);
    for (let count = 0; count < 20; count += 1) await sendLookup();
    return countSeen(1) === before;
  });
  const before = countSeen(1);
  for (let count = 0; count < 40; count += 1) t.equal((await sendLookup()).status, 200);
  t.equal(countSeen(1), before);
});

t.test('gives its slots back in a planned stop', async (t) => {
  const late = await fleet.startEntry('entry-late');
  await waitUntil('the late host holds slots', async () => {
    const reply = await fetch(`${late.operatorOrigin}/status`);
    const { hosts } = (await reply.json()) as { hosts: { host: string; slots: number }[] };
    return (hosts.find(({ host }) => host === 'entry-late')?.slots ?? 0) > 0;
  });
  late.process.kill('SIGTERM');
  t.equal(await late.process.exited, 0);
  const entry = await fleet.keyValueService.get('shares');
  const { body } = JSON.parse(entry?.value ?? '{}') as { body: { holders: { host: string }[] } };
  t.notOk(body.holders.some(({ host }) => host === 'entry-late'));
});

t.test(
  'cuts no request in a planned stop, with streams running and the service away',
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
    await waitUntil('it is not ready', async () => {
      const reply = await fetch(`${second?.origin ?? ''}/readyz`).catch(() => undefined);
      return reply === undefined || reply.status === 503;
    });
    for (const answer of await Promise.all(streams)) {
      const stream = parseStream(answer);
      t.ok(stream.isComplete);
      t.equal(stream.text, buildExpectedText('stop', 200));
    }
    for (const answer of await Promise.all(certificates)) t.equal(answer.status, 200);
    t.equal(await second?.process.exited, 0);
    fleet.keyValueStandin.setFaults({ outage: false });
  },
);
