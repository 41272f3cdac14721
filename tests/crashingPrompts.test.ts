import { setTimeout as wait } from 'node:timers/promises';
import t from 'tap';
import { EngineBehaviour, type PlatformEngine } from './support/platformEngine.js';
import {
  isHostReady,
  sendToHost,
  startHost,
  startPlatformFleet,
  type HostResponse,
  type PlatformFleet,
} from './support/platformFleet.js';
import { waitUntil } from './support/waitUntil.js';

const CONTACT_MS = 3000; // the bound of the deployments
const ALLOWED_REQUESTS = 3;
const FIFTH = 4;
const ENGINES = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6'];

interface Crash {
  atMs: number;
  part: string;
}

/** Has engines crash on prompts with one of the parts, and start again at once with their model. */
function setCrashingParts(fleet: PlatformFleet, badParts: readonly string[]): Crash[] {
  const crashes: Crash[] = [];
  for (const engine of fleet.engines)
    engine.setBehaviour((request) => {
      const ids = String(request.headers['prompt-prefix']).split(',');
      const part = badParts.find((bad) => ids.some((id) => id.startsWith(`${bad}:`)));
      if (part === undefined) return EngineBehaviour.serve;
      crashes.push({ atMs: performance.now(), part });
      setImmediate(() => startEngineAgain(fleet, engine));
      return EngineBehaviour.loseResponse;
    });
  return crashes;
}

function startEngineAgain(fleet: PlatformFleet, engine: PlatformEngine): void {
  engine.restart();
  engine.models.set('oak', new Set());
  fleet.store.put(`servers/${engine.id}`, engine.buildRegistration());
}

let promptCount = 0;

/** Sends a prompt with the given shared parts and a last part of its own to one host after another. */
function sendPrompt(fleet: PlatformFleet, path: string, parts: string[]): Promise<HostResponse> {
  promptCount += 1;
  const host = fleet.hosts[promptCount % fleet.hosts.length];
  if (host === undefined) throw new Error('the fleet has no host');
  const prefix = [...parts, `own${promptCount}`].map((id) => `${id}:10`).join();
  return sendToHost(host, path, { headers: { 'prompt-prefix': prefix } });
}

/** Sends sound and bad prompts, 20 of each a second, for a time; returns the sound ones' statuses. */
async function sendMixed(
  fleet: PlatformFleet,
  badParts: readonly string[],
  durationMs: number,
): Promise<{ atMs: number; status: number }[]> {
  const sound: Promise<{ atMs: number; status: number }>[] = [];
  const untilMs = performance.now() + durationMs;
  for (let index = 0; performance.now() < untilMs; index += 1) {
    const bad = badParts[index % badParts.length] ?? '';
    const atMs = performance.now();
    void sendPrompt(fleet, '/plan/', ['first', `beside${index % 9}`, bad]).catch(() => undefined);
    sound.push(
      sendPrompt(fleet, '/plan/', ['first', `beside${index % 9}`]).then(
        ({ status, isComplete }) => ({ atMs, status: isComplete ? status : 0 }),
        () => ({ atMs, status: 0 }),
      ),
    );
    await wait(50);
  }
  return Promise.all(sound);
}

for (const badParts of [['bad'], ['bad-1', 'bad-2']])
  t.test(
    `prompts do not crash one engine after another, parts: ${badParts.length}`,
    { timeout: 60_000 },
    async (t) => {
      const fleet = await startPlatformFleet(
        3,
        ENGINES.map((id) => ({ id, models: { oak: [] } })),
      );
      t.teardown(fleet.close);
      const crashes = setCrashingParts(fleet, badParts);
      const sound = await sendMixed(fleet, badParts, 9000);
      const fifthAtMs = crashes[FIFTH]?.atMs ?? crashes.at(-1)?.atMs ?? 0;
      const later = crashes.filter(({ atMs }) => atMs > fifthAtMs + CONTACT_MS);
      t.ok(later.length <= ALLOWED_REQUESTS, `${later.length} of ${crashes.length} crashes later`);
      const soundLater = sound.filter(({ atMs }) => atMs > fifthAtMs + 2 * CONTACT_MS);
      const served = soundLater.filter(({ status }) => status === 200);
      t.ok(soundLater.length >= 20, `${soundLater.length} sound requests`);
      t.ok(
        served.length >= soundLater.length / 2,
        `${served.length} of ${soundLater.length} served`,
      );
    },
  );

t.test(
  'a prompt that crashes engines is refused as not run, and told not to return soon',
  async (t) => {
    const fleet = await startPlatformFleet(
      1,
      ENGINES.map((id) => ({ id, models: { oak: [] } })),
    );
    t.teardown(fleet.close);
    setCrashingParts(fleet, ['bad']);
    await waitUntil('the prompt is refused', async () => {
      const { status, headers } = await sendPrompt(fleet, '/chat/', ['first', 'bad']);
      return status === 503 && Number(headers['retry-after']) >= 5;
    });
    const before = fleet.engines.flatMap(({ executedRequests }) => executedRequests).length;
    for (let index = 0; index < 5; index += 1)
      t.match(await sendPrompt(fleet, '/chat/', ['first', 'bad']), {
        status: 503,
        body: /servers crash on a part of the prompt/,
      });
    t.equal(fleet.engines.flatMap(({ executedRequests }) => executedRequests).length, before);
    t.equal((await sendPrompt(fleet, '/chat/', ['first', 'beside'])).status, 200);
  },
);

t.test('the quarantine outlives the leader and all processes', async (t) => {
  const fleet = await startPlatformFleet(
    2,
    ENGINES.map((id) => ({ id, models: { oak: [] } })),
  );
  t.teardown(fleet.close);
  const crashes = setCrashingParts(fleet, ['bad']);
  await waitUntil('the prompt is confirmed', async () => {
    const { headers } = await sendPrompt(fleet, '/chat/', ['first', 'bad']);
    return Number(headers['retry-after']) >= 5;
  });
  await waitUntil('the quarantine is stored', () =>
    Promise.resolve(
      JSON.stringify(fleet.store.read('bronzelanding/quarantine') ?? '').includes('bad'),
    ),
  );
  const before = crashes.length;
  await Promise.all(fleet.hosts.splice(0).map((host) => host.stop()));
  for (const name of ['host-3', 'host-4']) fleet.hosts.push(await startHost(fleet.store, name));
  for (const host of fleet.hosts) await waitUntil('a host is ready', () => isHostReady(host));
  await wait(CONTACT_MS);
  for (let index = 0; index < 20; index += 1)
    t.equal((await sendPrompt(fleet, '/chat/', ['first', 'bad'])).status, 503);
  t.equal(crashes.length, before);
});

t.test(
  'crashes for other reasons put no sound prompt in quarantine',
  { timeout: 60_000 },
  async (t) => {
    const fleet = await startPlatformFleet(
      3,
      ENGINES.map((id) => ({ id, models: { oak: [] }, eventIntervalMs: 40 })),
    );
    t.teardown(fleet.close);
    const responses: Promise<HostResponse | undefined>[] = [];
    for (let index = 0; index < 160; index += 1) {
      responses.push(
        sendPrompt(fleet, '/plan/', ['first', `subject${index % 40}`]).catch(() => undefined),
      );
      const engine = fleet.engines[index % fleet.engines.length];
      if (index % 5 === 0 && engine !== undefined) startEngineAgain(fleet, engine);
      if (index % 60 === 59) for (const each of fleet.engines) startEngineAgain(fleet, each);
      await wait(40);
    }
    const refused = (await Promise.all(responses)).filter((response) =>
      response?.body.includes('servers crash on a part of the prompt'),
    );
    t.equal(refused.length, 0);
  },
);
