import { once } from 'node:events';
import { connect } from 'node:net';
import { API_KEY } from './platformFleet.js';

/** A kind of client that reads nothing of its answers. */
interface SlowShape {
  clients: number;
  /** Requests that each client sends on its connection. */
  requests: number;
  path: string;
  headers: string;
  bodyBytes: number;
}

const STREAM_HEADERS = 'Accept: text/event-stream\r\nModel: oak\r\nToken-Count: 100,20\r\n';
const plain = { requests: 1, path: '/lookup/1', headers: '', bodyBytes: 0 };

/** Counts are those that take more than the smallest host has, if it held what it receives for each. */
const shapes: Record<string, SlowShape> = {
  unreadAnswers: { ...plain, clients: 400 },
  unfinishedAnswers: { ...plain, clients: 400 },
  unreadPipelinedAnswers: { ...plain, clients: 200, requests: 15 },
  unreadStreams: { ...plain, clients: 400, path: '/chat/1', headers: STREAM_HEADERS },
  unreadRequests: { ...plain, clients: 1500, bodyBytes: 99_000 },
};

const REPORT_INTERVAL_MS = 200;
const SPREAD_MS = 1; // between two connections, so that the backlog of the listener suffices

const [shapeName = '', port = ''] = process.argv.slice(2);
const shape = shapes[shapeName];
if (shape === undefined) throw new Error(`no shape ${shapeName}`);
let opened = 0;
let finished = 0;
let closed = 0;

/** Sends the requests of one client and stays connected without reading. */
async function runClient(index: number, slow: SlowShape): Promise<void> {
  const socket = connect(Number(port), '127.0.0.1');
  socket.on('error', () => undefined);
  socket.once('close', () => {
    closed += 1;
  });
  opened += 1;
  await once(socket, 'connect').catch(() => undefined);
  for (let request = 0; request < slow.requests; request += 1)
    socket.write(
      `POST ${slow.path} HTTP/1.1\r\nHost: depots.example\r\nAuthorization: Bearer ${API_KEY}\r\n` +
        `Request-Id: load-${index}-${request}\r\nDeadline-Ms: 3000\r\n${slow.headers}` +
        `Content-Length: ${slow.bodyBytes}\r\n\r\n${'a'.repeat(slow.bodyBytes)}`,
    );
  finished += 1;
}

setInterval(() => {
  const isDone = finished === shape.clients;
  console.log(JSON.stringify({ msg: 'load', isDone, opened, finished, closed }));
}, REPORT_INTERVAL_MS);
for (let index = 0; index < shape.clients; index += 1) {
  void runClient(index, shape);
  await new Promise((resolve) => setTimeout(resolve, SPREAD_MS));
}
