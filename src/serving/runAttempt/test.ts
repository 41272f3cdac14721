import t, { type Test } from 'tap';
import type {
  AttemptHandlers,
  BackendServer,
  CallerResponse,
  ServingRequest,
} from '../../ports/serving.js';
import type { ServingContext, TrackedStream } from '../types.js';
import { AttemptOutcome, runAttempt, type AttemptResult } from './index.js';

const CHUNK_BYTES = 16;
const STREAM_BYTES = 262_144;

const ignore = (): void => undefined;

/** Starts an attempt at a stream, whose response the test delivers through `handlers`. */
function startAttempt(): { handlers: AttemptHandlers; result: Promise<AttemptResult> } {
  let handlers: AttemptHandlers | undefined;
  const context = {
    clock: { monotonicMs: () => performance.now() },
    metrics: { recordFirstBytes: ignore },
    admission: { recordStream: ignore },
    evacuations: { isEvacuated: () => false },
    maximumResponseBytes: 1_000_000,
    backendClient: {
      send: (_server: BackendServer, _request: ServingRequest, given: AttemptHandlers) => {
        handlers = given;
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
  const request = { route, service: 'llm', arrivedAtMs: now, deadlineAtMs: now + 60_000 };
  const tracked = { recordFirstBytes: ignore, recordBytes: ignore, recordEvents: ignore };
  const result = runAttempt({
    context: context as unknown as ServingContext,
    request: request as unknown as ServingRequest,
    response,
    server: { id: 'e1', dataCentre: 'one' } as BackendServer,
    trackedRequest: tracked as unknown as TrackedStream,
    isResent: false,
    tryFailOver: () => false,
    onSustainedOutput: ignore,
    isServerSilent: () => false,
  });
  if (handlers === undefined) throw new Error('the attempt sent nothing');
  handlers.onHead({ status: 200, headers: [] });
  return { handlers, result };
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
