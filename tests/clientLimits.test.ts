import { setTimeout as wait } from 'node:timers/promises';
import t from 'tap';
import { startProcess, type RunningProcess } from './support/processes.js';
import {
  askOnce,
  isMet,
  MAX_DESCRIPTORS,
  MAX_RESIDENT_BYTES,
  startHostProcess,
  startSampling,
} from './support/smallHost.js';
import { waitUntil } from './support/waitUntil.js';

const LOAD_TIMEOUT_MS = 25_000;
const SETTLE_TIMEOUT_MS = 30_000;

t.setTimeout(600_000);
t.jobs = 1;

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
