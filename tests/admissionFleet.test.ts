import { setTimeout as wait } from 'node:timers/promises';
import t from 'tap';
import { buildConfiguration, sendToHost, startPlatformFleet } from './support/platformFleet.js';
import { waitUntil } from './support/waitUntil.js';

const REASON = 'service is over its admission level';
const ROUTE = { timeout_ms: 3000, target_latency_ms: 400, max_attempts: 1, gap_target_ms: 400 };
const STREAM = { host: 'depots.example', route_type: 'stream', service: 'llm', ...ROUTE };
const CONFIGURATION = {
  routes: [
    { name: 'chat', prefix: '/chat/', priority: 0, ...STREAM },
    { name: 'plan', prefix: '/plan/', priority: 2, ...STREAM },
    // Tells that the configuration is in force.
    { name: 'new', prefix: '/new/', priority: 2, ...STREAM },
  ],
};

// Guards against hosts that do not follow the level of their leader, and against refusals of urgent
// requests, of those that free engines would serve, or with a Retry-After that callers do not honour.
t.test('hosts refuse the last class while the slots of the engines are taken', async (t) => {
  const engine = { id: 'engine-1', models: { oak: [] }, events: 90, eventIntervalMs: 20 };
  const fleet = await startPlatformFleet(2, [engine], {
    load: { maximumRefusedShare: 0.9, fairWeight: 1 },
  });
  t.teardown(() => fleet.close());
  fleet.store.put('op/config', buildConfiguration(2, CONFIGURATION));
  const [first, second] = fleet.hosts;
  if (first === undefined || second === undefined) throw new Error('two hosts were started');
  await waitUntil('the configuration is in force', async () => {
    // Without a key, so that the engine runs none of them: it knows no such stream, and would be avoided for its answers.
    const headers = { authorization: 'Bearer unknown' };
    const responses = await Promise.all(
      fleet.hosts.map((host) => sendToHost(host, '/new/1', { headers })),
    );
    return responses.every(({ status }) => status === 401);
  });
  const calm = await Promise.all([sendToHost(first, '/plan/1'), sendToHost(second, '/plan/1')]);
  t.same(
    calm.map(({ status }) => status),
    [200, 200],
  );
  const urgent = Array.from({ length: 24 }, (_, index) =>
    sendToHost(index % 2 === 0 ? first : second, '/chat/1'),
  );
  await wait(900);
  const last = await Promise.all(
    Array.from({ length: 20 }, (_, index) =>
      sendToHost(index % 2 === 0 ? first : second, '/plan/1'),
    ),
  );
  const refused = last.filter(({ body }) => body.includes(REASON));
  t.ok(refused.length >= 5, `${refused.length} of 20 refused`);
  for (const { status, headers } of refused) {
    t.equal(status, 503);
    t.ok(Number(headers['retry-after']) < 1, 'below a third of the time that is left');
  }
  const urgentBodies = (await Promise.all(urgent)).map(({ body }) => body);
  t.notOk(
    urgentBodies.some((body) => body.includes(REASON)),
    'urgent requests are not refused',
  );
  await wait(400);
  t.equal((await sendToHost(first, '/plan/1')).status, 200, 'free engines take them at once');
});
