import { splitEvents } from '../../decisions/serving/splitEvents/index.js';
import {
  AttemptFailure,
  RepeatRule,
  type AnswerHead,
  type BackendServer,
  type CallerReply,
  type ServingRequest,
} from '../../ports/serving.js';
import type { BookedPlace } from '../createServerBook/index.js';
import type { ServingContext } from '../types.js';

/** How an attempt ended. */
export const AttemptEnd = {
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
export type AttemptEnd = (typeof AttemptEnd)[keyof typeof AttemptEnd];

/** What became of an attempt. */
export interface AttemptResult {
  end: AttemptEnd;
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
  reply: CallerReply;
  server: BackendServer;
  place: BookedPlace;
  /** The caller has a stream up to this event. */
  lastEventId?: string;
  /** Whether another server may take over when this one says nothing. */
  mayReplace: boolean;
}

const LEAST_SILENCE_MS = 400; // above the time of nearly all plain requests
const STREAM_SILENCE_MS = 1500; // the longest prompt is read in a quarter of a second
const SILENCE_OBJECTIVES = 2; // an answer this late is of little use to the caller

function computeSilenceMs({ route }: ServingRequest): number {
  const least = route.isStream ? STREAM_SILENCE_MS : LEAST_SILENCE_MS;
  return Math.max(least, SILENCE_OBJECTIVES * route.objectiveMs);
}

/** Sends a request to one server and relays its answer; settles when the attempt is over. */
export function runAttempt(options: RunAttemptOptions): Promise<AttemptResult> {
  const { context, request, reply, server, place, lastEventId, mayReplace } = options;
  const { clock } = context;
  const { route } = request;
  const result: AttemptResult = { end: AttemptEnd.failed, reason: '', status: 0, lastEventId };
  return new Promise((resolve) => {
    let isOver = false;
    let isEventStream = false;
    let tail: Buffer = Buffer.alloc(0);
    let lastBytesAtMs = clock.monotonicMs();
    const remainingMs = request.deadlineAtMs - lastBytesAtMs;

    const finish = (end: AttemptEnd, reason: string, failure?: AttemptFailure): void => {
      if (isOver) return;
      isOver = true;
      clearTimeout(deadline);
      clearInterval(silence);
      reply.signal.removeEventListener('abort', leave);
      resolve({ ...result, end, reason, failure });
    };
    const giveUp = (end: AttemptEnd, reason: string): void => {
      attempt.abort();
      finish(end, reason, AttemptFailure.broken);
    };
    const leave = (): void => {
      // What may not be repeated runs to its end: its caller may ask what became of it.
      if (route.repeat === RepeatRule.once && !route.isStream) {
        finish(AttemptEnd.callerLeft, 'caller left');
        return;
      }
      giveUp(AttemptEnd.callerLeft, 'caller left');
    };
    const checkSilence = (): void => {
      if (clock.monotonicMs() - lastBytesAtMs < computeSilenceMs(request)) return;
      if (reply.isHeadSent() && route.repeat !== RepeatRule.resumable) return;
      giveUp(AttemptEnd.failed, 'server is silent');
    };

    const onHead = (head: AnswerHead): void => {
      place.recordFirstBytes();
      lastBytesAtMs = clock.monotonicMs();
      result.status = head.status;
      result.firstBytesMs = Math.round(lastBytesAtMs - request.arrivedAtMs);
      const isFailure = head.status >= 500;
      if (isFailure && (mayReplace || reply.isHeadSent())) {
        giveUp(AttemptEnd.serverError, `server answered ${head.status}`);
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
      place.recordBytes();
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
        finish(AttemptEnd.failed, 'stream ended within an event', AttemptFailure.broken);
        return;
      }
      reply.end();
      if (result.status < 500) finish(AttemptEnd.served, 'served');
      else finish(AttemptEnd.relayed, `server answered ${result.status}`);
    };

    const deadline = setTimeout(
      () => {
        giveUp(AttemptEnd.timedOut, 'deadline passed');
      },
      Math.max(1, remainingMs),
    );
    const silence = mayReplace ? setInterval(checkSilence, LEAST_SILENCE_MS / 4) : undefined;
    const attempt = context.backends.send(
      server,
      request,
      {
        onHead: (head) => {
          if (!isOver) onHead(head);
        },
        onData,
        onEnd,
        onFailure: (failure, reason) => finish(AttemptEnd.failed, reason, failure),
      },
      {
        remainingMs,
        needsFreshConnection: route.repeat === RepeatRule.once && !route.isStream,
        lastEventId,
      },
    );
    reply.signal.addEventListener('abort', leave, { once: true });
    if (reply.signal.aborted) leave();
  });
}
