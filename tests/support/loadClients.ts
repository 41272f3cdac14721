import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { API_KEY } from './platformFleet.js';

/** A kind of client that exceeds the limits. */
interface ClientShape {
  clients: number;
  /** Bytes that one client sends, block by block. */
  listBlocks: () => Iterable<string | Buffer>;
}

const MAX_BODY_BYTES = 100_000; // of the configuration in the tests
const OVERSIZE_BYTES = 30_000_000;
const BLOCK_BYTES = 65_536;
const REPORT_INTERVAL_MS = 200;
const SPREAD_MS = 1; // between two connections, so that the backlog of the listener suffices

let lastId = 0;

function buildHead(headers: string): string {
  lastId += 1;
  return (
    `POST /lookup/1 HTTP/1.1\r\nHost: depots.example\r\nAuthorization: Bearer ${API_KEY}\r\n` +
    `Request-Id: load-${lastId}\r\nDeadline-Ms: 3000\r\n${headers}\r\n\r\n`
  );
}

function* listCopies(block: string | Buffer, count: number): Iterable<string | Buffer> {
  for (let index = 0; index < count; index += 1) yield block;
}

const plainBlock = Buffer.alloc(BLOCK_BYTES, 'a');
const chunkOfBlock = Buffer.concat([
  Buffer.from(`${BLOCK_BYTES.toString(16)}\r\n`),
  plainBlock,
  Buffer.from('\r\n'),
]);
const oversizeBlocks = Math.ceil(OVERSIZE_BYTES / BLOCK_BYTES);

/** Counts are those with which the faults were measured, or enough to exceed the smallest host. */
const shapes: Record<string, ClientShape> = {
  oneByteChunks: {
    clients: 200,
    *listBlocks() {
      yield buildHead('Transfer-Encoding: chunked');
      yield* listCopies('1\r\na\r\n'.repeat(1000), 60);
    },
  },
  unfinishedBodies: {
    clients: 2500,
    *listBlocks() {
      yield buildHead(`Content-Length: ${MAX_BODY_BYTES}`);
      yield Buffer.alloc(MAX_BODY_BYTES - 1, 'a');
    },
  },
  pipelinedRequests: {
    clients: 200,
    *listBlocks() {
      for (let index = 0; index < 400; index += 1) yield `${buildHead('Content-Length: 1')}a`;
    },
  },
  announcedOversize: {
    clients: 60,
    *listBlocks() {
      yield buildHead('Content-Length: 1000000000');
      yield* listCopies(plainBlock, oversizeBlocks);
    },
  },
  unannouncedOversize: {
    clients: 60,
    *listBlocks() {
      yield buildHead('Transfer-Encoding: chunked');
      yield* listCopies(chunkOfBlock, oversizeBlocks);
    },
  },
  idleConnections: { clients: 3000, listBlocks: () => [] },
};

const [shapeName = '', port = ''] = process.argv.slice(2);
const shape = shapes[shapeName];
if (shape === undefined) throw new Error(`no shape ${shapeName}`);
let opened = 0;
let finished = 0;
let closed = 0;
const statuses: Record<string, number> = {};

function isClosed(socket: Socket): boolean {
  return socket.destroyed;
}

/** Sends the blocks of one client and stays connected until the host closes the connection. */
async function runClient({ listBlocks }: ClientShape): Promise<void> {
  const socket = connect(Number(port), '127.0.0.1');
  const end = new Promise<void>((resolve) => {
    socket.once('close', () => {
      closed += 1;
      resolve();
    });
  });
  socket.on('error', () => undefined);
  socket.once('data', (chunk: Buffer) => {
    const status = chunk.toString('latin1', 9, 12);
    statuses[status] = (statuses[status] ?? 0) + 1;
  });
  opened += 1;
  for (const block of listBlocks()) {
    if (isClosed(socket)) break;
    if (!socket.write(block))
      await Promise.race([once(socket, 'drain').catch(() => undefined), end]);
  }
  finished += 1;
}

const report = (): void => {
  const isDone = finished === shape.clients;
  console.log(JSON.stringify({ msg: 'load', isDone, opened, finished, closed, statuses }));
};
setInterval(report, REPORT_INTERVAL_MS);
for (let index = 0; index < shape.clients; index += 1) {
  void runClient(shape);
  await new Promise((resolve) => setTimeout(resolve, SPREAD_MS));
}
