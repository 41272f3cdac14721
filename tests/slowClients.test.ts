import type { Socket } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';
import t from 'tap';
import { startRawServer } from './support/rawServer.js';
import { startProcess } from './support/processes.js';
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
const HOLD_MS = 4000; // longer than the deadline of the requests
const SETTLE_TIMEOUT_MS = 30_000;
const ANSWER = Buffer.alloc(1_000_000, 'a');
const STREAM = Buffer.from(`id: 1\ndata: ${'a'.repeat(60_000)}\n\n`.repeat(16));

t.setTimeout(600_000);
t.jobs = 1;

function writeHead(socket: Socket, id: string, type: string, length: number): void {
  socket.write(
    `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nServer-Seal: s\r\n` +
      `Content-Type: ${type}\r\nContent-Length: ${length}\r\n\r\n`,
  );
}

/** Answers ordinary requests at once; those of the load with long answers. */
function sendLong(socket: Socket, id: string): void {
  const body = id.startsWith('load-') ? ANSWER : Buffer.from('ok');
  writeHead(socket, id, 'text/plain', body.length);
  socket.write(body);
}

function sendStream(socket: Socket, id: string): void {
  if (!id.startsWith('load-')) {
    sendLong(socket, id);
    return;
  }
  writeHead(socket, id, 'text/event-stream', STREAM.length);
  socket.write(STREAM);
}

/** Reads nothing more of a request of the load after its head. */
function readSlowly(socket: Socket, id: string): void {
  if (id.startsWith('load-')) socket.pause();
  else sendLong(socket, id);
}

// Guards against memory and descriptors that answers take which their clients do not read, and requests
// that engines do not read.
const cases: Record<string, (socket: Socket, id: string) => void> = {
  unreadAnswers: sendLong,
  unreadPipelinedAnswers: sendLong,
  unreadStreams: sendStream,
  unreadRequests: readSlowly,
};
for (const [shape, answer] of Object.entries(cases))
  t.test(`keeps its bounds with ${shape}`, async (t) => {
    const server = await startRawServer(answer);
    t.teardown(server.close);
    const { host, callerPort } = await startHostProcess(t, server.port);
    const readPeak = startSampling(host.pid);
    const script = '../dist-tools/tests/support/slowClients.js';
    const clients = startProcess(shape, script, [shape, String(callerPort)]);
    t.teardown(async () => {
      clients.kill('SIGKILL');
      await clients.exited;
    });
    const readLoad = () => clients.lines.findLast(({ msg }) => msg === 'load') ?? {};
    await isMet(waitUntil('the load was sent', () => readLoad().isDone === true, LOAD_TIMEOUT_MS));
    await wait(HOLD_MS);
    const isAnswered = await isMet(
      waitUntil(
        'an ordinary request is answered',
        async () => (await askOnce(callerPort)) === 200,
        SETTLE_TIMEOUT_MS,
      ),
    );
    const peak = await readPeak();
    const exit = await Promise.race([host.exited, wait(0, 'alive')]);
    const taken = server.countWritten();
    t.comment(shape, JSON.stringify({ peak, exit, isAnswered, taken, load: readLoad() }));
    t.equal(exit, 'alive');
    t.ok(isAnswered, 'answers an ordinary request');
    t.ok(peak.residentBytes <= MAX_RESIDENT_BYTES, `${peak.residentBytes} bytes resident`);
    t.ok(peak.descriptors <= MAX_DESCRIPTORS, `${peak.descriptors} descriptors`);
  });
