import t, { type Test } from 'tap';
import type {
  AttemptHandlers,
  AttemptOptions,
  BackendServer,
  CallerResponse,
  ServingRequest,
} from '../../ports/serving.js';
import { createHeldBytes } from '../createHeldBytes/index.js';
import type { ServingContext, TrackedStream } from '../types.js';
import { AttemptOutcome, runAttempt, type AttemptResult } from './index.js';

const CHUNK_BYTES = 16;
const STREAM_BYTES = 262_144;
const REQUESTS = 256; // four engines of 64 requests each
const EVENT_BYTES = 1_000_000;
const MAX_HELD_BYTES = 32_000_000; // an eighth of what a small host has

const ignore = (): void => undefined;

/** Starts an attempt at a stream, whose response the test delivers through `handlers`. */
function startAttempt(
  heldBytes = createHeldBytes(),
  changes: { lastEventId?: string; request?: Partial<ServingRequest> } = {},
): {
  handlers: AttemptHandlers;
  options: AttemptOptions;
  result: Promise<AttemptResult>;
} {
  let handlers: AttemptHandlers | undefined;
  let options: AttemptOptions | undefined;
  const context = {
    clock: { monotonicMs: () => performance.now() },
    metrics: { recordFirstBytes: ignore },
    admission: { recordStream: ignore },
    evacuations: { isEvacuated: () => false },
    serverRegistry: { findServer: () => ({ incarnation: 'e1/2' }) },
    heldBytes,
    maximumResponseBytes: 1_000_000,
    backendClient: {
      send: (_server: unknown, _request: unknown, ...given: [AttemptHandlers, AttemptOptions]) => {
        [handlers, options] = given;
        return { abort: ignore, resume: ignore };
      },
    },
  };
  let isHeadSent = false;
  const response: CallerResponse = {
    isHeadSent: () => isHeadSent,
    signal: new AbortController().signal,
    sendHead: () => {
      isHeadSent = true;
    },
    write: () => true,
    onDrain: ignore,
    end: ignore,
    fail: ignore,
    resetConnection: ignore,
  };
  const now = performance.now();
  const route = { name: 'chat', isStream: true, retryPolicy: 'once', latencyTargetMs: 400 };
  const request = {
    route,
    service: 'llm',
    arrivedAtMs: now,
    deadlineAtMs: now + 60_000,
    ...changes.request,
  };
  const tracked = { recordFirstBytes: ignore, recordBytes: ignore, recordEvents: ignore };
  const result = runAttempt({
    context: context as unknown as ServingContext,
    request: request as unknown as ServingRequest,
    response,
    server: { id: 'e1', incarnation: 'e1/1', dataCentre: 'one' } as BackendServer,
    lastEventId: changes.lastEventId,
    trackedRequest: tracked as unknown as TrackedStream,
    isResent: false,
    tryFailOver: () => false,
    onEvents: ignore,
    onSustainedOutput: ignore,
    isServerSilent: () => false,
  });
  if (handlers === undefined || options === undefined) throw new Error('the attempt sent nothing');
  handlers.onHead({ status: 200, headers: [] });
  return { handlers, options, result };
}

/** Counts the bytes of buffers that are joined until the end of the test. */
function countJoinedBytes(t: Test): () => number {
  let joined = 0;
  const concat = Buffer.concat.bind(Buffer);
  Buffer.concat = (list, length) => {
    const whole = concat(list, length);
    joined += whole.length;
    return whole;
  };
  t.teardown(() => {
    Buffer.concat = concat;
  });
  return () => joined;
}

const endlessEvents: Record<string, string> = {
  'one line': 'token token toke',
  'short lines': 'data: x\ndata: y\n',
  comments: ': wait\n\n: wait\n\n',
};

// An engine that never ended an event stopped its host: each chunk copied and searched all of the event once more.
for (const [name, piece] of Object.entries(endlessEvents))
  t.test(`joins each byte twice at most for ${name} in tiny chunks`, async (t) => {
    const { handlers, result } = startAttempt();
    const count = countJoinedBytes(t);
    const chunk = Buffer.from(piece);
    for (let bytes = 0; bytes < STREAM_BYTES; bytes += CHUNK_BYTES) handlers.onData(chunk);
    const joined = count();
    t.ok(joined <= 2 * STREAM_BYTES, `${joined} bytes joined for ${STREAM_BYTES}`);
    handlers.onEnd();
    const { outcome } = await result;
    t.equal(outcome, name === 'comments' ? AttemptOutcome.served : AttemptOutcome.failed);
  });

// Each of many requests to an engine that never ends an event held the longest one, 1 MiB.
t.test('holds no more for many events without end than a host has', async (t) => {
  const heldBytes = createHeldBytes();
  const attempts = Array.from({ length: REQUESTS }, () => startAttempt(heldBytes));
  const chunk = Buffer.alloc(EVENT_BYTES / 10, 'x');
  for (let part = 0; part < 10; part += 1)
    for (const { handlers } of attempts) handlers.onData(chunk);
  const isHeld = attempts.map(() => true);
  attempts.forEach(({ result }, index) => void result.then(() => (isHeld[index] = false)));
  await new Promise((resolve) => setImmediate(resolve));
  const bytes = isHeld.filter(Boolean).length * EVENT_BYTES;
  t.ok(bytes <= MAX_HELD_BYTES, `${bytes} bytes held of ${REQUESTS * EVENT_BYTES}`);
  t.ok(bytes >= MAX_HELD_BYTES / 4, 'some long events may still end');
  const usual = startAttempt(heldBytes);
  usual.handlers.onData(Buffer.from('data: usual'));
  usual.handlers.onData(Buffer.from(' event\n\n'));
  usual.handlers.onEnd();
  t.equal((await usual.result).outcome, AttemptOutcome.served);
  for (const { handlers } of attempts) handlers.onEnd();
});

for (const [name, changes, mayStillSend] of [
  ['begins', {}, true],
  ['goes on within an answer', { lastEventId: '3' }, false],
  ['is taken up by a caller', { request: { lastEventId: '3' } }, false],
] as const)
  t.test(
    `a stream that ${name} may go to a process that registered since: ${mayStillSend}`,
    async (t) => {
      const { handlers, options, result } = startAttempt(undefined, changes);
      t.equal(options.mayStillSend?.(), mayStillSend);
      handlers.onEnd();
      await result;
    },
  );
