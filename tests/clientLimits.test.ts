import { readdir, readFile } from 'node:fs/promises';
import { setTimeout as wait } from 'node:timers/promises';
import t, { type Test } from 'tap';
import { Agent, request as sendRequest } from 'undici';
import { pickFreePort } from './support/pickFreePort.js';
import { startPlatformEngine } from './support/platformEngine.js';
import { buildConfiguration, sendToPort } from './support/platformFleet.js';
import { startPlatformStore } from './support/platformStore.js';
import { startProcess, type RunningProcess } from './support/processes.js';
import { waitUntil } from './support/waitUntil.js';

// The smallest hosts of the deployments; the flags are those of the deployment file.
const MAX_RESIDENT_BYTES = 210_000_000;
const MAX_DESCRIPTORS = 2212;
const NODE_FLAGS = '--max-old-space-size=160 --max-semi-space-size=2';
const SAMPLE_INTERVAL_MS = 100;
const LOAD_TIMEOUT_MS = 25_000;
const ANSWER_TIMEOUT_MS = 5000;
const SETTLE_TIMEOUT_MS = 30_000;

t.setTimeout(600_000);
t.jobs = 1;

/** Starts a store, a server and a host as a process with the flags of the smallest hosts. */
async function startHostProcess(t: Test) {
  const store = await startPlatformStore();
  t.teardown(store.close);
  store.put('op/config', buildConfiguration(1));
  const server = await startPlatformEngine({ id: 'certs-1', service: 'certs', models: {} });
  t.teardown(server.close);
  store.put('servers/certs-1', server.buildRegistration());
  const callerPort = await pickFreePort();
  const readyPort = await pickFreePort();
  const host = startProcess(
    'host-1',
    '../dist-tools/platform/main.js',
    [
      '--host=host-1',
      '--data-centre=a',
      `--callers=127.0.0.1:${callerPort}`,
      `--ready=127.0.0.1:${readyPort}`,
      `--store=127.0.0.1:${store.endpoint.port}`,
      `--peer-port=${await pickFreePort()}`,
      `--metrics-port=${await pickFreePort()}`,
      '--first-start=true',
    ],
    { NODE_OPTIONS: NODE_FLAGS },
  );
  t.teardown(async () => {
    host.kill('SIGKILL');
    await host.exited;
  });
  const isReady = async (): Promise<boolean> => {
    const response = await sendRequest(`http://127.0.0.1:${readyPort}/api/ready`).catch(
      () => undefined,
    );
    await response?.body.dump();
    return response?.statusCode === 200;
  };
  await waitUntil('the host is ready', isReady);
  return { host, callerPort };
}

/** Samples the open descriptors of a process; its peak of resident memory is kept by the system. */
function startSampling(pid: number) {
  const peak = { descriptors: 0, residentBytes: 0 };
  let isStopped = false;
  const sample = async (): Promise<void> => {
    while (!isStopped) {
      const descriptors = await readdir(`/proc/${pid}/fd`).catch(() => []);
      const status = await readFile(`/proc/${pid}/status`, 'utf8').catch(() => '');
      const kibibytes = Number(/VmHWM:\s+(\d+) kB/.exec(status)?.[1] ?? 0);
      peak.descriptors = Math.max(peak.descriptors, descriptors.length);
      peak.residentBytes = Math.max(peak.residentBytes, kibibytes * 1024);
      await wait(SAMPLE_INTERVAL_MS);
    }
  };
  const done = sample();
  return async () => {
    isStopped = true;
    await done;
    return peak;
  };
}

/** Sends an ordinary request on a new connection; undefined without an answer. */
async function askOnce(port: number): Promise<number | undefined> {
  const agent = new Agent({ headersTimeout: ANSWER_TIMEOUT_MS, connectTimeout: ANSWER_TIMEOUT_MS });
  try {
    const response = await sendToPort(port, '/lookup/1', { agent, body: 'b'.repeat(1000) });
    return response.status;
  } catch {
    return undefined;
  } finally {
    await agent.destroy();
  }
}

const isMet = (promise: Promise<void>): Promise<boolean> =>
  promise.then(
    () => true,
    () => false,
  );

function readLoad(clients: RunningProcess) {
  const line = clients.lines.findLast(({ msg }) => msg === 'load') ?? {};
  return line as { isDone?: boolean; opened?: number; closed?: number; statuses?: object };
}

/** What must hold besides the bounds: that all clients were closed, and a status that one of them read. */
interface Expectation {
  areAllClosed?: boolean;
  status?: string;
}

// Guards against clients that make a host run out of memory or descriptors, or hang.
const cases: Record<string, Expectation> = {
  oneByteChunks: {},
  unfinishedBodies: { areAllClosed: true },
  pipelinedRequests: {},
  announcedOversize: { areAllClosed: true, status: '413' },
  unannouncedOversize: { areAllClosed: true, status: '413' },
  idleConnections: {},
};
for (const [shape, { areAllClosed = false, status }] of Object.entries(cases))
  t.test(`keeps its bounds with ${shape}`, async (t) => {
    const { host, callerPort } = await startHostProcess(t);
    const readPeak = startSampling(host.pid);
    const script = '../dist-tools/tests/support/loadClients.js';
    const clients = startProcess(shape, script, [shape, String(callerPort)]);
    t.teardown(async () => {
      clients.kill('SIGKILL');
      await clients.exited;
    });
    await isMet(
      waitUntil('the load was sent', () => readLoad(clients).isDone === true, LOAD_TIMEOUT_MS),
    );
    const isAnswered = await isMet(
      waitUntil(
        'an ordinary request is answered',
        async () => (await askOnce(callerPort)) === 200,
        SETTLE_TIMEOUT_MS,
      ),
    );
    const areClosed = (): boolean => {
      const { isDone, opened, closed } = readLoad(clients);
      return isDone === true && opened === closed;
    };
    if (areAllClosed)
      t.ok(
        await isMet(waitUntil('all clients were closed', areClosed, SETTLE_TIMEOUT_MS)),
        'closes the connections',
      );
    const peak = await readPeak();
    const exit = await Promise.race([host.exited, wait(0, 'alive')]);
    t.comment(shape, JSON.stringify({ peak, exit, isAnswered, load: readLoad(clients) }));
    t.equal(exit, 'alive');
    t.ok(isAnswered, 'answers an ordinary request');
    t.ok(peak.residentBytes <= MAX_RESIDENT_BYTES, `${peak.residentBytes} bytes resident`);
    t.ok(peak.descriptors <= MAX_DESCRIPTORS, `${peak.descriptors} descriptors`);
    if (status !== undefined) t.hasOwnProp(readLoad(clients).statuses ?? {}, status);
  });
