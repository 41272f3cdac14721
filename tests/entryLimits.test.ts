import type { Socket } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';
import t, { type Test } from 'tap';
import { sendCallerRequest } from './support/callers.js';
import { startFleet } from './support/fleet.js';
import { startProcess } from './support/processes.js';
import { startRawServer } from './support/rawServer.js';
import {
  isMet,
  MAX_DESCRIPTORS,
  MAX_RESIDENT_BYTES,
  SMALL_HOST_FLAGS,
  startSampling,
} from './support/smallHost.js';
import { waitUntil } from './support/waitUntil.js';

const LOAD_TIMEOUT_MS = 25_000;
const HOLD_MS = 4000; // longer than the deadline of the load's requests
const SETTLE_TIMEOUT_MS = 30_000;
const ANSWER = Buffer.alloc(4_000_000, 'a');
const MARK = '/lookup/1'; // only the load asks for it

t.setTimeout(600_000);
t.jobs = 1;

function writeHead(socket: Socket, length: number): void {
  const head = `HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: ${length}\r\n\r\n`;
  socket.write(head);
}
function sendShort(socket: Socket): void {
  writeHead(socket, 2);
  socket.write('ok');
}
/** Answers the load with a long answer, of which all or all but the last byte is sent. */
function buildAnswer(sentBytes: number): (socket: Socket, id: string, head: string) => void {
  return (socket, _id, head) => {
    if (!head.includes(MARK)) {
      sendShort(socket);
      return;
    }
    writeHead(socket, ANSWER.length);
    socket.write(ANSWER.subarray(0, sentBytes));
  };
}

/** Starts an entry host with the flags of the smallest hosts, in front of a raw server. */
async function startSmallEntry(t: Test, answer: Parameters<typeof startRawServer>[0]) {
  const server = await startRawServer(answer);
  t.teardown(server.close);
  const route = { service: 'raw', idempotent: true, open: true, class: 'interactive' } as const;
  const { NODE_OPTIONS } = process.env;
  process.env.NODE_OPTIONS = SMALL_HOST_FLAGS;
  const fleet = await startFleet({
    entries: 1,
    placements: 0,
    engines: 0,
    entryFlags: ['--maximum-body-bytes', '100000'],
    bundle: {
      plainServices: ['raw'],
      routes: ['/lookup/1', '/lookup/2'].map((path) => {
        return { method: 'POST', path, ...route, tokens: 0 };
      }),
    },
  });
  if (NODE_OPTIONS === undefined) delete process.env.NODE_OPTIONS;
  else process.env.NODE_OPTIONS = NODE_OPTIONS;
  t.teardown(fleet.stop);
  fleet.platformStandin.setHost({
    id: 'raw',
    role: 'plain',
    address: '127.0.0.1',
    port: server.port,
    dataCentre: 'one',
    service: 'raw',
    leaving: false,
  });
  const entry = fleet.getEntry(0);
  const askOnce = async (): Promise<boolean> =>
    (await sendCallerRequest(`${entry.origin}/lookup/2`, { body: {} })).status === 200;
  await waitUntil('the service is listed', askOnce);
  return { entry, server, askOnce };
}

// Guards against clients and slow servers that make an entry host run out of memory or descriptors, or hang.
const cases: Record<string, { script: string; answer?: Parameters<typeof startRawServer>[0] }> = {
  oneByteChunks: { script: 'loadClients' },
  unfinishedBodies: { script: 'loadClients' },
  pipelinedRequests: { script: 'loadClients' },
  announcedOversize: { script: 'loadClients' },
  unannouncedOversize: { script: 'loadClients' },
  idleConnections: { script: 'loadClients' },
  unreadAnswers: { script: 'slowClients', answer: buildAnswer(ANSWER.length) },
  unfinishedAnswers: { script: 'slowClients', answer: buildAnswer(ANSWER.length - 1) },
};
for (const [shape, { script, answer = sendShort }] of Object.entries(cases))
  t.test(`keeps the bounds of an entry host with ${shape}`, async (t) => {
    const { entry, server, askOnce } = await startSmallEntry(t, answer);
    const readPeak = startSampling(entry.process.pid);
    const port = new URL(entry.origin).port;
    const path = `../dist-tools/tests/support/${script}.js`;
    const clients = startProcess(shape, path, [shape, port]);
    t.teardown(async () => {
      clients.kill('SIGKILL');
      await clients.exited;
    });
    const readLoad = () => clients.lines.findLast(({ msg }) => msg === 'load') ?? {};
    await isMet(waitUntil('the load was sent', () => readLoad().isDone === true, LOAD_TIMEOUT_MS));
    await wait(HOLD_MS);
    const isAnswered = await isMet(
      waitUntil('an ordinary request is answered', askOnce, SETTLE_TIMEOUT_MS),
    );
    const peak = await readPeak();
    const exit = await Promise.race([entry.process.exited, wait(0, 'alive')]);
    const taken = server.countWritten();
    t.comment(shape, JSON.stringify({ peak, exit, isAnswered, taken, load: readLoad() }));
    t.equal(exit, 'alive');
    t.ok(isAnswered, 'answers an ordinary request');
    t.ok(peak.residentBytes <= MAX_RESIDENT_BYTES, `${peak.residentBytes} bytes resident`);
    t.ok(peak.descriptors <= MAX_DESCRIPTORS, `${peak.descriptors} descriptors`);
  });
