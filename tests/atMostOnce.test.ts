import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import t from 'tap';
import { sendCallerRequest, type ReceivedResponse } from './support/callers.js';
import { startFleet } from './support/fleet.js';
import { waitUntil } from './support/waitUntil.js';

const fleet = await startFleet({ entries: 3, engines: 0, placements: 0, plainServers: 2 });
t.teardown(() => fleet.stop());
t.setTimeout(100_000);
const [first, second, third] = fleet.entries;
const key = fleet.keys.dryline;
const servers = [...fleet.plainServers.values()];

function countRuns(id: string): number {
  return servers.reduce((sum, { stats }) => sum + (stats.runs[id] ?? 0), 0);
}

function sendCertificate(
  id: string,
  entry = first,
  idempotencyKey?: string,
): Promise<ReceivedResponse> {
  const headers: Record<string, string> =
    idempotencyKey === undefined ? {} : { 'idempotency-key': idempotencyKey };
  return sendCallerRequest(`${entry?.origin ?? ''}/certificates`, { key, body: { id }, headers });
}

t.afterEach(() => {
  for (const { setFaults } of servers)
    setFaults({
      slowMs: 0,
      cutBeforeRun: 0,
      cutAfterRun: 0,
      refuse: 0,
      truncate: 0,
      fail: 0,
      leaving: false,
    });
  fleet.keyValueStandin.setFaults({ outage: false, slowMs: 0, loseWriteAnswers: 0 });
});

t.test('does not repeat a call whose server died after running it', async (t) => {
  for (const { setFaults } of servers) setFaults({ cutAfterRun: 1 });
  const answer = await sendCertificate('died-after', first, 'died-after');
  t.equal(answer.status, 502);
  t.equal(answer.outcome, 'unknown');
  const repeat = await sendCertificate('died-after', second, 'died-after');
  t.equal(repeat.status, 409);
  t.equal(repeat.outcome, 'unknown');
  t.equal(countRuns('died-after'), 1);
});

t.test('does not repeat a call that was cut before it ran, since nobody can know', async (t) => {
  for (const { setFaults } of servers) setFaults({ cutBeforeRun: 1 });
  const answer = await sendCertificate('died-before');
  t.equal(answer.outcome, 'unknown');
  t.equal(countRuns('died-before'), 0);
});

t.test('goes elsewhere when a server refuses before running', async (t) => {
  servers[0]?.setFaults({ refuse: 1 });
  servers[1]?.setFaults({ refuse: 1 });
  const answer = await sendCertificate('refused');
  t.equal(answer.status, 200, answer.text);
  t.equal(countRuns('refused'), 1);
});

t.test('says not run when no server can be reached, and that is true', async (t) => {
  const closed = createServer();
  closed.listen(0, '127.0.0.1');
  await once(closed, 'listening');
  const { port } = closed.address() as AddressInfo;
  await new Promise((resolve) => closed.close(resolve));
  const base = {
    role: 'plain',
    address: '127.0.0.1',
    dataCentre: 'one',
    service: 'certificates',
  } as const;
  for (const [index, server] of servers.entries())
    fleet.platformStandin.setHost({
      ...base,
      id: `plain-${index + 1}`,
      port: server.port,
      leaving: true,
    });
  fleet.platformStandin.setHost({ ...base, id: 'plain-closed', port, leaving: false });
  await waitUntil(
    'only the closed server is listed',
    async () => (await sendCertificate('unreachable')).outcome === 'not-run',
  );
  const before = countRuns('unreachable');
  const answer = await sendCertificate('unreachable');
  t.equal(answer.status, 503);
  t.equal(answer.outcome, 'not-run');
  t.equal(countRuns('unreachable'), before);
  fleet.platformStandin.removeHost('plain-closed');
  for (const [index, server] of servers.entries())
    fleet.platformStandin.setHost({
      ...base,
      id: `plain-${index + 1}`,
      port: server.port,
      leaving: false,
    });
  await waitUntil(
    'the servers are back',
    async () => (await sendCallerRequest(`${first?.origin ?? ''}/opening-hours`)).status === 200,
  );
});

t.test(
  'runs once though the entry host dies in the middle and the caller repeats elsewhere',
  async (t) => {
    for (const { setFaults } of servers) setFaults({ slowMs: 300 });
    const lost = sendCertificate('host-dies', third, 'host-dies');
    await waitUntil('the call runs', () => countRuns('host-dies') === 1);
    third?.process.kill('SIGKILL');
    t.equal((await lost).status, 0);
    const repeat = await sendCertificate('host-dies', first, 'host-dies');
    t.equal(repeat.status, 409);
    t.equal(repeat.outcome, 'unknown');
    t.equal(countRuns('host-dies'), 1);
  },
);

t.test('runs once though the answer to the claim is lost', async (t) => {
  fleet.keyValueStandin.setFaults({ loseWriteAnswers: 1, loseWritesOf: 'claims/' });
  const answer = await sendCertificate('claim-lost', first, 'claim-lost');
  t.equal(answer.status, 200, answer.text);
  t.equal(countRuns('claim-lost'), 1);
});

t.test(
  'refuses keyed calls as not run without the service, and runs unkeyed ones once',
  async (t) => {
    fleet.keyValueStandin.setFaults({ outage: true });
    const keyed = await sendCertificate('no-service', first, 'no-service');
    t.equal(keyed.status, 503);
    t.equal(keyed.outcome, 'not-run');
    t.equal(countRuns('no-service'), 0);
    t.equal((await sendCertificate('no-service-unkeyed')).status, 200);
    t.equal(countRuns('no-service-unkeyed'), 1);
    fleet.keyValueStandin.setFaults({ outage: false });
    await waitUntil(
      'the repeat runs',
      async () => (await sendCertificate('no-service', second, 'no-service')).status === 200,
    );
    t.equal(countRuns('no-service'), 1);
  },
);

t.test('refuses a key that belongs to another request', async (t) => {
  t.equal((await sendCertificate('key-one', first, 'same-key')).status, 200);
  const other = await sendCertificate('key-two', second, 'same-key');
  t.equal(other.status, 422);
  t.equal(countRuns('key-two'), 0);
});

t.test('retries lookups elsewhere', async (t) => {
  servers[0]?.setFaults({ cutBeforeRun: 1 });
  servers[1]?.setFaults({ truncate: 1 });
  const answer = await sendCallerRequest(`${first?.origin ?? ''}/certificates/lookup`, { key });
  t.equal(answer.status, 200, answer.text);
});

t.test('tells the truth about each of many calls under random faults', async (t) => {
  const random = xoroshiro128plus(42);
  const pick = (count: number): number => uniformInt(random, 0, count - 1);
  const answers = new Map<string, ReceivedResponse[]>();
  for (let round = 0; round < 30; round += 1) {
    const faults = ['cutBeforeRun', 'cutAfterRun', 'refuse', 'truncate'] as const;
    servers[pick(2)]?.setFaults({ [faults[pick(4)] ?? 'refuse']: 1 + pick(2) });
    if (pick(4) === 0)
      fleet.keyValueStandin.setFaults({ loseWriteAnswers: 1, loseWritesOf: 'claims/' });
    await Promise.all(
      Array.from({ length: 8 }, async (_unused, index) => {
        const id = `storm-${round}-${index}`;
        const isKeyed = index % 2 === 0;
        const tries = [first, second].slice(0, isKeyed ? 2 : 1);
        const got = await Promise.all(
          tries.map((entry) => sendCertificate(id, entry, isKeyed ? id : undefined)),
        );
        answers.set(id, got);
      }),
    );
  }
  const doubled = [...answers.keys()].filter((id) => countRuns(id) > 1);
  const untrue = [...answers].filter(
    ([id, got]) => got.every(({ outcome }) => outcome === 'not-run') && countRuns(id) > 0,
  );
  const lost = [...answers].filter(
    ([id, got]) => got.some(({ status }) => status === 200) && countRuns(id) !== 1,
  );
  const odd = [...answers.values()]
    .flat()
    .filter(({ status }) => ![200, 409, 502, 503].includes(status));
  t.strictSame(doubled, []);
  t.strictSame(
    untrue.map(([id]) => id),
    [],
  );
  t.strictSame(
    lost.map(([id]) => id),
    [],
  );
  t.strictSame(
    odd.map(({ text }) => text),
    [],
  );
});
