import { splitEvents } from '../../decisions/serving/splitEvents/index.js';
import {
  AttemptFailure,
  RetryPolicy,
  type ResponseHead,
  type BackendServer,
  type CallerResponse,
  type ServingRequest,
} from '../../ports/serving.js';
import type { TrackedRequest } from '../createServerRegistry/index.js';
import type { ServingContext } from '../types.js';

/** How an attempt ended. */
export const AttemptOutcome = {
  /** The whole answer went to the caller. */
  served: 'served',
  /** A failure that the server itself answered went to the caller. */
  relayed: 'relayed',
  /** The server answered with a failure, and another server may do better. */
  serverError: 'serverError',
  failed: 'failed',
  timedOut: 'timedOut',
  callerLeft: 'callerLeft',
} as const;
export type AttemptOutcome = (typeof AttemptOutcome)[keyof typeof AttemptOutcome];

/** What became of an attempt. */
export interface AttemptResult {
  end: AttemptOutcome;
  failure?: AttemptFailure;
  reason: string;
  /** Status that the server answered; 0 without one. */
  status: number;
  /** Last event that the caller has, for a stream. */
  lastEventId?: string;
  firstBytesMs?: number;
}

/** What an attempt needs. */
export interface RunAttemptOptions {
  context: ServingContext;
  request: ServingRequest;
  reply: CallerResponse;
  server: BackendServer;
  trackedRequest: TrackedRequest;
  /** The caller has a stream up to this event. */
  lastEventId?: string;
  /** Whether another server may take over when this one says nothing. */
  canFailOver: boolean;
}

const LEAST_SILENCE_MS = 400; // above the time of nearly all plain requests
const STREAM_SILENCE_MS = 1500; // the longest prompt is read in a quarter of a second
const SILENCE_OBJECTIVES = 2; // an answer this late is of little use to the caller

function computeSilenceMs({ route }: ServingRequest): number {
  const least = route.isStream ? STREAM_SILENCE_MS : LEAST_SILENCE_MS;
  return Math.max(least, SILENCE_OBJECTIVES * route.latencyTargetMs);
}

/** Sends a request to one server and relays its answer; settles when the attempt is over. */
export function runAttempt(options: RunAttemptOptions): Promise<AttemptResult> {
  const { context, request, reply, server, trackedRequest, lastEventId, canFailOver } = options;
  const { clock } = context;
  const { route } = request;
  const result: AttemptResult = { end: AttemptOutcome.failed, reason: '', status: 0, lastEventId };
  return new Promise((resolve) => {
    let isOver = false;
    let isEventStream = false;
    let tail: Buffer = Buffer.alloc(0);
    let lastBytesAtMs = clock.monotonicMs();
    const remainingMs = request.deadlineAtMs - lastBytesAtMs;

    const finish = (end: AttemptOutcome, reason: string, failure?: AttemptFailure): void => {
      if (isOver) return;
      isOver = true;
      clearTimeout(deadline);
      clearInterval(silence);
      reply.signal.removeEventListener('abort', leave);
      resolve({ ...result, end, reason, failure });
    };
    const giveUp = (end: AttemptOutcome, reason: string): void => {
      attempt.abort();
      finish(end, reason, AttemptFailure.broken);
    };
    const leave = (): void => {
      // What may not be repeated runs to its end: its caller may ask what became of it.
      if (route.retryPolicy === RetryPolicy.once && !route.isStream) {
        finish(AttemptOutcome.callerLeft, 'caller left');
        return;
      }
      giveUp(AttemptOutcome.callerLeft, 'caller left');
    };
    const checkSilence = (): void => {
      if (clock.monotonicMs() - lastBytesAtMs < computeSilenceMs(request)) return;
      if (reply.isHeadSent() && route.retryPolicy !== RetryPolicy.resumable) return;
      giveUp(AttemptOutcome.failed, 'server is silent');
    };

    const onHead = (head: ResponseHead): void => {
      trackedRequest.recordFirstBytes();
      lastBytesAtMs = clock.monotonicMs();
      result.status = head.status;
      result.firstBytesMs = Math.round(lastBytesAtMs - request.arrivedAtMs);
      const isFailure = head.status >= 500;
      if (isFailure && (canFailOver || reply.isHeadSent())) {
        giveUp(AttemptOutcome.serverError, `server answered ${head.status}`);
        return;
      }
      isEventStream = route.isStream && head.status === 200;
      // A stream that goes on keeps the head of its first server.
      if (!reply.isHeadSent()) reply.sendHead(head);
      context.metrics.recordFirstBytes(route.name, result.firstBytesMs);
    };
    const write = (chunk: Buffer): boolean => {
      if (chunk.length === 0) return true;
      const keepsUp = reply.write(chunk);
      if (!keepsUp) reply.onDrain(() => attempt.resume());
      return keepsUp;
    };
    const onData = (chunk: Buffer): boolean => {
      if (isOver) return true;
      trackedRequest.recordBytes();
      lastBytesAtMs = clock.monotonicMs();
      if (!isEventStream) return write(chunk);
      const events = splitEvents(tail.length === 0 ? chunk : Buffer.concat([tail, chunk]));
      tail = Buffer.from(events.rest);
      result.lastEventId = events.lastEventId ?? result.lastEventId;
      return write(events.whole);
    };
    const onEnd = (): void => {
      if (isOver) return;
      if (tail.length > 0) {
        finish(AttemptOutcome.failed, 'stream ended within an event', AttemptFailure.broken);
        return;
      }
      reply.end();
      if (result.status < 500) finish(AttemptOutcome.served, 'served');
      else finish(AttemptOutcome.relayed, `server answered ${result.status}`);
    };

    const deadline = setTimeout(
      () => {
        giveUp(AttemptOutcome.timedOut, 'deadline passed');
      },
      Math.max(1, remainingMs),
    );
    const silence = canFailOver ? setInterval(checkSilence, LEAST_SILENCE_MS / 4) : undefined;
    const attempt = context.backendClient.send(
      server,
      request,
      {
        onHead: (head) => {
          if (!isOver) onHead(head);
        },
        onData,
        onEnd,
        onFailure: (failure, reason) => finish(AttemptOutcome.failed, reason, failure),
      },
      {
        remainingMs,
        needsFreshConnection: route.retryPolicy === RetryPolicy.once && !route.isStream,
        lastEventId,
      },
    );
    reply.signal.addEventListener('abort', leave, { once: true });
    if (reply.signal.aborted) leave();
  });
}
