import { Duplex } from 'node:stream';
import type { Socket } from 'node:net';
import t from 'tap';
import { createSocketReader, type SocketReader } from './index.js';

const TINY_CHUNK = '1\r\nx\r\n';
const TINY_CHUNKS = Buffer.from(TINY_CHUNK.repeat(50_000));
const LONG_BODY = Buffer.alloc(400_000, 'x');

interface Connection {
  reader: SocketReader;
  push: (bytes: Buffer | null) => void;
  /** Bytes of each read of the client. */
  reads: number[];
  /** Parts of the body that were delivered. */
  bodies: string[];
  socket: Socket;
}

/**
 * Creates a connection whose client takes each x for a chunk of the body, or all bytes with `isBody`. `turns` gets what
 * is to run in turns of the event loop.
 */
function createConnection(
  turns: (() => void)[],
  { isBody = false }: { isBody?: boolean } = {},
): Connection {
  const socket = new Duplex({
    read: () => undefined,
    readableHighWaterMark: 1_000_000,
  }) as unknown as Socket;
  const reader = createSocketReader(socket, { turns: { add: (run) => turns.push(run) } });
  const reads: number[] = [];
  const bodies: string[] = [];
  socket.on('error', () => undefined);
  socket.on('readable', () => {
    for (;;) {
      const chunk = socket.read() as Buffer | null;
      if (chunk === null) return;
      reads.push(chunk.length);
      if (isBody) reader.addBody(chunk);
      else
        for (let index = 0; index < chunk.length; index += 1)
          if (chunk[index] === 0x78) reader.addBody(chunk.subarray(index, index + 1));
    }
  });
  reader.startResponse((body) => bodies.push(body.toString()));
  return { socket, reader, push: (bytes) => socket.push(bytes), reads, bodies };
}

const waitForTurn = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

t.test('reads a part of a response of tiny chunks in a turn', async (t) => {
  const turns: (() => void)[] = [];
  const { push, reads, bodies } = createConnection(turns);
  push(TINY_CHUNKS);
  await waitForTurn();
  t.same(reads, [65_536]);
  t.equal(bodies.length, 1, 'the chunks of a read come together');
  while (turns.length > 0) {
    const before = reads.length;
    turns.shift()?.();
    t.ok(reads.length <= before + 1);
  }
  t.ok(reads.slice(1).every((bytes) => bytes <= 16_384));
  t.equal(bodies.join('').length, 50_000);
});

t.test('lets connections with tiny chunks take turns', async (t) => {
  const turns: (() => void)[] = [];
  const connections = Array.from({ length: 20 }, () => createConnection(turns));
  for (const { push } of connections) push(TINY_CHUNKS);
  await waitForTurn();
  t.equal(turns.length, 20, 'each waits for its turn');
  const countReads = (): number => connections.reduce((sum, { reads }) => sum + reads.length, 0);
  const before = countReads();
  for (let turn = 0; turn < 20; turn += 1) turns.shift()?.();
  t.equal(countReads(), before + 20, 'one read a turn');
  t.ok(connections.every(({ reads }) => reads.length === 2));
});

t.test('reads a long body without waiting', async (t) => {
  const turns: (() => void)[] = [];
  const { push, bodies } = createConnection(turns, { isBody: true });
  push(LONG_BODY);
  push(null);
  await waitForTurn();
  t.equal(bodies.join('').length, LONG_BODY.length);
  t.equal(turns.length, 0);
});

t.test('hands out nothing while paused, also at the end of the connection', async (t) => {
  const { push, reader, reads, bodies, socket } = createConnection([], { isBody: true });
  let isEnded = false;
  socket.once('end', () => {
    isEnded = true;
  });
  reader.pause();
  push(Buffer.from('last bytes'));
  push(null);
  await waitForTurn();
  t.equal(reads.length, 0);
  t.notOk(isEnded);
  t.ok(reader.isPaused());
  reader.resume();
  await waitForTurn();
  await waitForTurn();
  t.same(bodies, ['last bytes']);
  t.ok(isEnded);
});

t.test('ends a connection whose response is hardly any body', async (t) => {
  const turns: (() => void)[] = [];
  const { push, socket } = createConnection(turns);
  push(Buffer.from('HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(8000)));
  await waitForTurn();
  while (turns.length > 0) turns.shift()?.();
  t.ok(socket.destroyed);
});

t.test('ends a connection whose response cannot be handled', async (t) => {
  const { push, reader, socket } = createConnection([], { isBody: true });
  reader.startResponse(() => {
    throw new Error('cannot be handled');
  });
  push(Buffer.from('body'));
  await waitForTurn();
  t.ok(socket.destroyed);
});
