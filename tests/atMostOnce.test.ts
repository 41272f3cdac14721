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

t.test('does not retry a request whose connection closed after it ran', async (t) => {
  for (const { setFaults } of servers) setFaults({ cutAfterRun: 1 });
  const response = await sendCertificate('died-after', first, 'died-after');
  t.equal(response.status, 502);
  t.equal(response.outcome, 'unknown');
  const retry = await sendCertificate('died-after', second, 'died-after');
  t.equal(retry.status, 409);
  t.equal(retry.outcome, 'unknown');
  t.equal(countRuns('died-after'), 1);
});

t.test(
  'does not retry a request whose connection closed before it ran, as the outcome is unknown',
  async (t) => {
    for (const { setFaults } of servers) setFaults({ cutBeforeRun: 1 });
    const response = await sendCertificate('died-before');
    t.equal(response.outcome, 'unknown');
    t.equal(countRuns('died-before'), 0);
  },
);

t.test(
  'retries a request on another server when a server refuses it before running it',
  async (t) => {
    servers[0]?.setFaults({ refuse: 1 });
    servers[1]?.setFaults({ refuse: 1 });
    const response = await sendCertificate('refused');
    t.equal(response.status, 200, response.text);
    t.equal(countRuns('refused'), 1);
  },
);

t.test('reports not-run when no server is reachable, and runs nothing', async (t) => {
  const closedServer = createServer();
  closedServer.listen(0, '127.0.0.1');
  await once(closedServer, 'listening');
  const { port } = closedServer.address() as AddressInfo;
  await new Promise((resolve) => closedServer.close(resolve));
  const listedHost = {
    role: 'plain',
    address: '127.0.0.1',
    dataCentre: 'one',
    service: 'certificates',
  } as const;
  for (const [index, server] of servers.entries())
    fleet.platformStandin.setHost({
      ...listedHost,
      id: `plain-${index + 1}`,
      port: server.port,
      leaving: true,
    });
  fleet.platformStandin.setHost({ ...listedHost, id: 'plain-closed', port, leaving: false });
  await waitUntil(
    'only the unreachable server is listed',
    async () => (await sendCertificate('unreachable')).outcome === 'not-run',
  );
  const before = countRuns('unreachable');
  const response = await sendCertificate('unreachable');
  t.equal(response.status, 503);
  t.equal(response.outcome, 'not-run');
  t.equal(countRuns('unreachable'), before);
  fleet.platformStandin.removeHost('plain-closed');
  for (const [index, server] of servers.entries())
    fleet.platformStandin.setHost({
      ...listedHost,
      id: `plain-${index + 1}`,
      port: server.port,
      leaving: false,
    });
  await waitUntil(
    'the servers are listed again',
    async () => (await sendCallerRequest(`${first?.origin ?? ''}/opening-hours`)).status === 200,
  );
});

t.test(
  'runs a request once when its entry host is killed and the caller retries on another host',
  async (t) => {
    for (const { setFaults } of servers) setFaults({ slowMs: 300 });
    const interruptedRequest = sendCertificate('host-dies', third, 'host-dies');
    await waitUntil('the request runs', () => countRuns('host-dies') === 1);
    third?.process.kill('SIGKILL');
    t.equal((await interruptedRequest).status, 0);
    const retry = await sendCertificate('host-dies', first, 'host-dies');
    t.equal(retry.status, 409);
    t.equal(retry.outcome, 'unknown');
    t.equal(countRuns('host-dies'), 1);
  },
);

t.test('runs a request once when the response to its claim write is lost', async (t) => {
  fleet.keyValueStandin.setFaults({ loseWriteAnswers: 1, loseWritesOf: 'claims/' });
  const response = await sendCertificate('claim-lost', first, 'claim-lost');
  t.equal(response.status, 200, response.text);
  t.equal(countRuns('claim-lost'), 1);
});

t.test(
  'refuses requests with an idempotency key in a key-value service outage and runs others once',
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
      'the retry succeeds',
      async () => (await sendCertificate('no-service', second, 'no-service')).status === 200,
    );
    t.equal(countRuns('no-service'), 1);
  },
);

t.test('refuses an idempotency key that was used for a different request', async (t) => {
  t.equal((await sendCertificate('key-one', first, 'same-key')).status, 200);
  const otherResponse = await sendCertificate('key-two', second, 'same-key');
  t.equal(otherResponse.status, 422);
  t.equal(countRuns('key-two'), 0);
});

t.test('retries idempotent lookups on other servers', async (t) => {
  servers[0]?.setFaults({ cutBeforeRun: 1 });
  servers[1]?.setFaults({ truncate: 1 });
  const response = await sendCallerRequest(`${first?.origin ?? ''}/certificates/lookup`, { key });
  t.equal(response.status, 200, response.text);
});

t.test('reports the correct outcome of each request under random faults', async (t) => {
  const random = xoroshiro128plus(42);
  const pick = (count: number): number => uniformInt(random, 0, count - 1);
  const responsesById = new Map<string, ReceivedResponse[]>();
  for (let round = 0; round < 30; round += 1) {
    const faults = ['cutBeforeRun', 'cutAfterRun', 'refuse', 'truncate'] as const;
    servers[pick(2)]?.setFaults({ [faults[pick(4)] ?? 'refuse']: 1 + pick(2) });
    if (pick(4) === 0)
      fleet.keyValueStandin.setFaults({ loseWriteAnswers: 1, loseWritesOf: 'claims/' });
    await Promise.all(
      Array.from({ length: 8 }, async (_unused, index) => {
        const id = `storm-${round}-${index}`;
        const isKeyed = index % 2 === 0;
        const entries = [first, second].slice(0, isKeyed ? 2 : 1);
        const responses = await Promise.all(
          entries.map((entry) => sendCertificate(id, entry, isKeyed ? id : undefined)),
        );
        responsesById.set(id, responses);
      }),
    );
  }
  const executedMoreThanOnce = [...responsesById.keys()].filter((id) => countRuns(id) > 1);
  const executedDespiteNotRun = [...responsesById].filter(
    ([id, responses]) =>
      responses.every(({ outcome }) => outcome === 'not-run') && countRuns(id) > 0,
  );
  const notExecutedOnce = [...responsesById].filter(
    ([id, responses]) => responses.some(({ status }) => status === 200) && countRuns(id) !== 1,
  );
  const unexpectedResponses = [...responsesById.values()]
    .flat()
    .filter(({ status }) => ![200, 409, 502, 503].includes(status));
  t.strictSame(executedMoreThanOnce, []);
  t.strictSame(
    executedDespiteNotRun.map(([id]) => id),
    [],
  );
  t.strictSame(
    notExecutedOnce.map(([id]) => id),
    [],
  );
  t.strictSame(
    unexpectedResponses.map(({ text }) => text),
    [],
  );
});
