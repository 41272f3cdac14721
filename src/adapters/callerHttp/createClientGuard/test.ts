import { EventEmitter } from 'node:events';
import { IncomingMessage } from 'node:http';
import { Socket } from 'node:net';
import fc from 'fast-check';
import t from 'tap';
import { MemoryPurpose } from '../../../decisions/clientLimits/mayReserve/index.js';
import { createAnswerMemory } from './_lib/createAnswerMemory.js';
import { createBodyReader } from './_lib/createBodyReader.js';
import { createMemoryBudget } from './_lib/createMemoryBudget.js';
import { refuseRestOfBody } from './_lib/refuseRestOfBody.js';
import { BodyFailure, ClientRejection } from './types.js';

const RUNS = { seed: 41, numRuns: 300 };
const REQUEST_BYTES = 100;
const LIMIT_BYTES = 1_000_000;
const limits = {
  memoryBytes: LIMIT_BYTES,
  maximumConnections: 10,
  maximumWaitingRequests: 4,
  bodyBytesPerSecond: 256,
  bodySpanMs: 5000,
  maximumDiscardedBytes: 1000,
  maximumFragmentedBodies: 1,
};

function createReader() {
  let nowMs = 0;
  const rejections: ClientRejection[] = [];
  const budget = createMemoryBudget(LIMIT_BYTES);
  const reader = createBodyReader({
    limits,
    clock: { monotonicMs: () => nowMs, wallMs: () => nowMs },
    budget,
    countRejection: (reason) => rejections.push(reason),
  });
  const open = (headers: Record<string, string>, maximumBytes = 4_194_304) => {
    const incoming = new IncomingMessage(new Socket());
    Object.assign(incoming.headers, headers);
    const reservation = { bytes: REQUEST_BYTES, isLarge: false };
    const body = reader.read(incoming, reservation, maximumBytes);
    return { incoming, reservation, body };
  };
  /** Passes time without a check, as in a process that is paused, and checks once. */
  const pause = (milliseconds: number): void => {
    nowMs += milliseconds;
    reader.check();
  };
  const pass = (milliseconds: number): void => {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += 500) {
      nowMs += 500;
      reader.check();
    }
  };
  /** Releases a body, as the end of its response does. */
  const finish = ({ reservation }: Pick<ReturnType<typeof open>, 'reservation'>): void => {
    budget.release(reservation, 0);
    reader.resumeWaiting();
  };
  return { rejections, open, pass, pause, finish };
}
const chunked = { 'transfer-encoding': 'chunked' };

// The decoder of chunks is the HTTP parser of Node.js; what is below it is fuzzed.
t.test('returns each body whole, and keeps no more memory than its length', async (t) => {
  const chunks = fc.array(fc.uint8Array({ maxLength: 6000 }), { maxLength: 40 });
  const property = fc.asyncProperty(chunks, fc.boolean(), async (parts, isAnnounced) => {
    const whole = Buffer.concat(parts);
    const { open } = createReader();
    const headers = isAnnounced ? { 'content-length': String(whole.length) } : chunked;
    const { incoming, reservation, body } = open(headers);
    for (const part of parts) incoming.push(Buffer.from(part));
    incoming.push(null);
    const result = await body;
    return (
      Buffer.isBuffer(result) &&
      result.equals(whole) &&
      reservation.bytes === REQUEST_BYTES + whole.length
    );
  });
  await fc.assert(property, RUNS);
  t.end();
});

t.test('ends each body with a result within its span, and releases its memory', async (t) => {
  const steps = fc.array(
    fc.record({
      body: fc.nat(7),
      bytes: fc.integer({ min: 1, max: 70_000 }),
      isBroken: fc.nat(9).map((value) => value === 0),
      passMs: fc.constantFrom(0, 500, 2000),
    }),
    { maxLength: 60 },
  );
  const property = fc.asyncProperty(steps, fc.nat(200_000), async (moves, announced) => {
    const { open, pass } = createReader();
    const bodies = Array.from({ length: 8 }, (_, index) =>
      open(index % 2 === 0 ? chunked : { 'content-length': String(announced) }, 150_000),
    );
    for (const { body, bytes, isBroken, passMs } of moves) {
      const { incoming } = bodies[body] ?? {};
      if (incoming === undefined || incoming.destroyed) continue;
      if (isBroken) incoming.destroy();
      else incoming.push(Buffer.alloc(bytes));
      await new Promise(setImmediate);
      pass(passMs);
    }
    pass(60_000);
    const results = await Promise.all(bodies.map(({ body }) => body));
    return bodies.every(({ reservation }, index) => {
      const result = results[index];
      const held = Buffer.isBuffer(result) ? result.length : 0;
      return reservation.bytes === REQUEST_BYTES + held;
    });
  });
  await fc.assert(property, RUNS);
  t.end();
});

// Guards against a buffer for each chunk: 200 such bodies took 3,882 MB.
t.test('reads some bodies in chunks of one byte, and rejects further ones', async (t) => {
  const { open, rejections } = createReader();
  const bodies = [open(chunked), open(chunked)];
  for (const { incoming } of bodies) {
    for (let count = 0; count < 5000; count += 1) incoming.push(Buffer.from('a'));
    incoming.push(null);
  }
  const results = await Promise.all(bodies.map(({ body }) => body));
  t.equal(results[0]?.length, 5000);
  t.equal(results[1], BodyFailure.noMemory);
  t.strictSame(rejections, [ClientRejection.smallChunks]);
});

t.test('ends a body that stopped, and one that announces too much', async (t) => {
  const { open, pass } = createReader();
  const stopped = open({ 'content-length': '100000' });
  stopped.incoming.push(Buffer.alloc(99_999));
  await new Promise(setImmediate);
  t.equal(await open({ 'content-length': '4194305' }).body, BodyFailure.tooLarge);
  pass(10_000);
  t.equal(await stopped.body, BodyFailure.tooSlow);
});

// Guards against bodies that listeners keep alive after they were read, at 25 to 40 % of the time of a request.
t.test('leaves no listener on a request whose body has been read or refused', async (t) => {
  const { open } = createReader();
  const read = open(chunked);
  const refused = open(chunked, 2);
  const events = ['data', 'end', 'error', 'close'];
  const count = ({ incoming }: typeof read) => events.map((event) => incoming.listenerCount(event));
  const countBefore = count({ ...read, incoming: new IncomingMessage(new Socket()) });
  for (const { incoming } of [read, refused]) incoming.push(Buffer.from('abc'));
  read.incoming.push(null);
  t.equal((await read.body).toString(), 'abc');
  t.equal(await refused.body, BodyFailure.tooLarge);
  t.strictSame([count(read), count(refused)], [countBefore, countBefore]);
});

// Guards against bodies that are ended although the host itself did not read them.
t.test('does not count the time in which the process was paused', async (t) => {
  const { open, pause, pass } = createReader();
  const { incoming, body } = open({ 'content-length': '2' });
  pause(20_000);
  incoming.push(Buffer.from('ab'));
  incoming.push(null);
  const result = await body;
  t.ok(Buffer.isBuffer(result));
  pass(500);
});

// Guards against a deadlock of bodies that wait for memory that others of them hold.
t.test('serves bodies that wait for memory one after the other', async (t) => {
  const { open, finish } = createReader();
  const bodies = [400_000, 400_000, 700_000, 4_194_304].map((length) => {
    const opened = open({ 'content-length': String(length) });
    return { ...opened, length };
  });
  for (const { incoming, reservation, length, body } of bodies) {
    incoming.push(Buffer.alloc(length));
    incoming.push(null);
    const result = await body;
    t.equal(Buffer.isBuffer(result) ? result.length : result, length);
    finish({ reservation });
  }
});

t.test('stops to read a long rest of a rejected body', (t) => {
  const incoming = new IncomingMessage(new Socket());
  Object.assign(incoming.headers, { 'content-length': '1000000000' });
  const response = new EventEmitter() as unknown as Parameters<typeof refuseRestOfBody>[1];
  t.ok(refuseRestOfBody(incoming, response, 1000, true));
  t.equal(response.shouldKeepAlive, false);
  incoming.push(Buffer.alloc(2000));
  setImmediate(() => {
    t.ok(incoming.isPaused());
    t.end();
  });
});

function createAnswers(limitBytes: number) {
  let nowMs = 0;
  const rejections: ClientRejection[] = [];
  const budget = createMemoryBudget(limitBytes);
  const clock = { monotonicMs: () => nowMs, wallMs: () => nowMs };
  const countRejection = (reason: ClientRejection) => void rejections.push(reason);
  const answers = createAnswerMemory({ limits, clock, budget, countRejection });
  const open = (unreadBytes = 0) => {
    const socket = { bytesWritten: 0, resetAndDestroy: () => close() };
    const reservation = { bytes: 0, isLarge: false };
    const answer = answers.open({
      reservation,
      socket,
      response: { writableLength: unreadBytes },
    } as never);
    const close = (): void => {
      budget.release(reservation, 0);
      answers.close(answer);
      answers.resumeWaiting();
    };
    return { answer, socket, close, reserve: (bytes: number) => answers.reserve(answer, bytes) };
  };
  const pass = (milliseconds: number): void => {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += 500) {
      nowMs += 500;
      answers.check();
    }
  };
  return { open, pass, rejections, budget };
}

// Guards against answers that are read whole without a bound: 400 of 4 MB took 262 MB and more.
t.test(
  'reads as many long answers at a time as the memory allows, and all small ones',
  async (t) => {
    const limitBytes = 32_000_000;
    const { open, pass, budget, rejections } = createAnswers(limitBytes);
    const results = Array.from({ length: 400 }, () => open().reserve(4_000_000));
    t.ok(budget.getExcessBytes() <= 0);
    t.ok(await open().reserve(1000));
    pass(limits.bodySpanMs);
    const admitted = (await Promise.all(results)).filter(Boolean).length;
    t.equal(admitted, 6);
    t.equal(rejections.length, 394);
    t.ok(budget.getExcessBytes() <= 0);
  },
);

t.test(
  'ends the answer that is not read for one that waits, and none that makes progress',
  async (t) => {
    const { open, pass, rejections } = createAnswers(8_000_000);
    const reading = open(65_536);
    const stalled = open(65_536);
    t.ok(await reading.reserve(3_000_000));
    t.ok(await stalled.reserve(3_000_000));
    pass(3000);
    t.strictSame(rejections, [], 'the memory suffices');
    const next = open().reserve(3_000_000);
    for (let second = 0; second < 3; second += 1) {
      reading.socket.bytesWritten += 65_536;
      pass(500);
    }
    t.ok(await next);
    t.strictSame(rejections, [ClientRejection.slowReader]);
    t.equal(stalled.answer.reservation.bytes, 0);
    t.equal(reading.answer.reservation.bytes, 3_000_000);
  },
);

// Guards against a wait of an answer for memory that the body of its own request holds.
t.test('reads one answer of each size without load, also beside a long body', async (t) => {
  const { open, budget } = createAnswers(1_000_000);
  const { answer, reserve, close } = open();
  budget.reserve(answer.reservation, 4_000_000, MemoryPurpose.large);
  t.ok(await reserve(8_388_608));
  close();
  t.equal(budget.getExcessBytes(), -1_000_000);
  t.notOk(await reserve(8_388_608), 'nothing would release memory for a closed response');
});
