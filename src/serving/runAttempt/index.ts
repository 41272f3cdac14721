import { mayAbandonAttempt } from '../../decisions/serving/mayAbandonAttempt/index.js';
import { findLastEventId } from '../../decisions/serving/findLastEventId/index.js';
import {
  AttemptFailure,
  RetryPolicy,
  type ResponseFraming,
  type ResponseHead,
  type BackendServer,
  type CallerResponse,
  type ServingRequest,
} from '../../ports/serving.js';
import type { ServingContext, TrackedStream } from '../types.js';
import { createEventRelay } from './_lib/createEventRelay.js';

/** How an attempt ended. */
export const AttemptOutcome = {
  /** The complete response was sent to the caller. */
  served: 'served',
  /** An error response of the server was passed to the caller. */
  relayed: 'relayed',
  /** The server responded with an error, and the request may be retried on another server. */
  serverError: 'serverError',
  /** No complete response arrived; `AttemptResult.failure` says why. */
  failed: 'failed',
  /** The deadline of the request passed. */
  timedOut: 'timedOut',
  callerLeft: 'callerLeft',
} as const;
export type AttemptOutcome = (typeof AttemptOutcome)[keyof typeof AttemptOutcome];

/** Result of an attempt. */
export interface AttemptResult {
  outcome: AttemptOutcome;
  failure?: AttemptFailure;
  reason: string;
  /** HTTP status of the server; 0 without a response. */
  status: number;
  /** What told the end of its response; undefined without one. */
  framing?: ResponseFraming;
  /** Why a response without framing counts as over. */
  endReason?: string;
  /** Id of the last stream event that was sent to the caller. */
  lastEventId?: string;
  /** Milliseconds from the arrival of the request to the response head. */
  firstBytesMs?: number;
  /** Longest time without an event once the stream has begun; undefined where it has not. */
  longestPauseMs?: number;
  /** Whether the server ended the connection when it had not begun to answer, or only just. */
  isCrashSuspected: boolean;
  /** Whether the server ended the connection at any time, as one that starts again does. */
  isDisconnected: boolean;
}

/** Options of running one attempt and relaying its response. */
export interface RunAttemptOptions {
  context: ServingContext;
  request: ServingRequest;
  response: CallerResponse;
  server: BackendServer;
  trackedRequest: TrackedStream;
  /** Resumes a stream after the event with this id. */
  lastEventId?: string;
  /** Whether the server was sent this request before, and refused it. */
  isResent: boolean;
  /** Reserves a retry on another server; only then may this attempt be given up while it runs. */
  tryFailOver: () => boolean;
  /** Called before the caller gets events of this attempt. */
  onEvents: () => void;
  /** Called once when the server has been answering for `SUSTAINED_OUTPUT_MS`. */
  onSustainedOutput: () => void;
  /** Whether the server sends nothing to any request of this host. */
  isServerSilent: () => boolean;
}

const SUSTAINED_OUTPUT_MS = 500; // a server that fails on a prompt does so with its first tokens
const SILENCE_CHECK_INTERVAL_MS = 100; // a fraction of the shortest silence for which a server is left

/** Sends a request to one server and relays the response; settles when the attempt has ended. */
export function runAttempt(options: RunAttemptOptions): Promise<AttemptResult> {
  const { context, request, response, server, trackedRequest, lastEventId, tryFailOver } = options;
  const { clock } = context;
  const { route } = request;
  const result: AttemptResult = {
    outcome: AttemptOutcome.failed,
    reason: '',
    status: 0,
    lastEventId,
    isCrashSuspected: false,
    isDisconnected: false,
  };
  return new Promise((resolve) => {
    let isFinished = false;
    let isEventStream = false;
    let bodyBytes = 0;
    let orphanTimer: NodeJS.Timeout | undefined;
    let outputSinceMs = Infinity;
    let isOutputSustained = false;
    let lastBytesAtMs = clock.monotonicMs();
    const remainingMs = request.deadlineAtMs - lastBytesAtMs;

    const finish = (outcome: AttemptOutcome, reason: string, failure?: AttemptFailure): void => {
      if (isFinished) return;
      isFinished = true;
      recordPause();
      clearTimeout(deadlineTimer);
      clearInterval(silenceTimer);
      held.release();
      response.signal.removeEventListener('abort', handleCallerAbort);
      resolve({ ...result, outcome, reason, failure });
    };
    const abortAttempt = (outcome: AttemptOutcome, reason: string): void => {
      attempt.abort();
      finish(outcome, reason, AttemptFailure.broken);
    };
    const handleCallerAbort = (): void => {
      // A request that must not be retried runs to completion, as its caller may ask for the outcome;
      // only the response is of no use any more.
      if (route.retryPolicy === RetryPolicy.once && !route.isStream && result.status === 0) {
        orphanTimer = setTimeout(attempt.abort, request.deadlineAtMs - clock.monotonicMs());
        finish(AttemptOutcome.callerLeft, 'caller left');
        return;
      }
      abortAttempt(AttemptOutcome.callerLeft, 'caller left');
    };
    const checkSilence = (): void => {
      const isHeadSent = response.isHeadSent();
      if (isHeadSent && route.retryPolicy !== RetryPolicy.resumable) return;
      const silentMs = clock.monotonicMs() - lastBytesAtMs;
      const isServerSilent = options.isServerSilent();
      const mayAbandon = mayAbandonAttempt({ ...route, silentMs, isHeadSent, isServerSilent });
      if (!mayAbandon || !tryFailOver()) return;
      abortAttempt(AttemptOutcome.failed, 'server is silent');
    };

    const onHead = (head: ResponseHead): void => {
      trackedRequest.recordFirstBytes();
      lastBytesAtMs = clock.monotonicMs();
      result.status = head.status;
      result.framing = head.framing;
      result.firstBytesMs = Math.round(lastBytesAtMs - request.arrivedAtMs);
      isEventStream = route.isStream && head.status === 200;
      // Whatever is no stream must not get into one that has begun at another server.
      const isUnfit = response.isHeadSent() && !isEventStream;
      if (isUnfit || (head.status >= 500 && tryFailOver())) {
        abortAttempt(AttemptOutcome.serverError, `server answered ${head.status}`);
        return;
      }
      // A resumed stream keeps the response head of its first server; another one is answered only
      // once it has an event, as a response without any can still be replaced by an error.
      if (isEventStream && !response.isHeadSent()) events.setHead(head);
      else if (!response.isHeadSent()) response.sendHead(head);
      context.metrics.recordFirstBytes(route.name, result.firstBytesMs);
      if (route.pauseTargetMs !== undefined)
        context.admission.recordStream(
          request.service,
          result.firstBytesMs > route.latencyTargetMs,
        );
    };
    const write = (chunk: Buffer): boolean => {
      if (chunk.length === 0) return true;
      const isWritable = response.write(chunk);
      if (!isWritable) response.onDrain(() => attempt.resume());
      return isWritable;
    };
    const writeEvents = (chunk: Buffer): boolean => {
      const isWritable = events.add(chunk);
      const problem = events.findProblem();
      if (problem !== undefined) abortAttempt(AttemptOutcome.failed, problem);
      return isWritable;
    };
    const recordPause = (): void => {
      if (outputSinceMs === Infinity) return;
      const pauseMs = Math.round(clock.monotonicMs() - lastBytesAtMs);
      result.longestPauseMs = Math.max(result.longestPauseMs ?? 0, pauseMs);
    };
    const recordOutput = (): void => {
      recordPause();
      const nowMs = clock.monotonicMs();
      lastBytesAtMs = nowMs;
      outputSinceMs = Math.min(outputSinceMs, nowMs);
      if (isOutputSustained || nowMs - outputSinceMs < SUSTAINED_OUTPUT_MS) return;
      isOutputSustained = true;
      options.onSustainedOutput();
    };
    const isResumed = lastEventId !== undefined || request.lastEventId !== undefined;
    const isStillRegistered = (): boolean =>
      context.serverRegistry.findServer(server.id)?.incarnation === server.incarnation;
    const held = context.heldBytes.open();
    const events = createEventRelay({
      held,
      sendHead: response.sendHead,
      write,
      onProgress: (progress) => {
        options.onEvents();
        recordOutput();
        trackedRequest.recordEvents(progress);
        result.lastEventId = findLastEventId(progress) ?? result.lastEventId;
      },
    });
    const onData = (chunk: Buffer): boolean => {
      if (isFinished) return true;
      trackedRequest.recordBytes();
      if (isEventStream) return writeEvents(chunk);
      lastBytesAtMs = clock.monotonicMs();
      bodyBytes += chunk.length;
      if (bodyBytes <= context.maximumResponseBytes) return write(chunk);
      const reason = `response is longer than ${context.maximumResponseBytes} bytes`;
      abortAttempt(AttemptOutcome.failed, reason);
      return true;
    };
    const onEnd = (reason?: string): void => {
      clearTimeout(orphanTimer);
      if (isFinished) return;
      if (events.isWithinEvent()) {
        finish(AttemptOutcome.failed, 'stream ended within an event', AttemptFailure.broken);
        return;
      }
      result.endReason = reason;
      events.finish();
      response.end();
      if (result.status < 500) finish(AttemptOutcome.served, 'served');
      else finish(AttemptOutcome.relayed, `server answered ${result.status}`);
    };

    const deadlineTimer = setTimeout(
      () => {
        abortAttempt(AttemptOutcome.timedOut, 'deadline passed');
      },
      Math.max(1, remainingMs),
    );
    const silenceTimer =
      route.retryPolicy === RetryPolicy.once
        ? undefined
        : setInterval(checkSilence, SILENCE_CHECK_INTERVAL_MS);
    const attempt = context.backendClient.send(
      server,
      request,
      {
        onHead: (head) => {
          if (!isFinished) onHead(head);
          else if (orphanTimer !== undefined) {
            clearTimeout(orphanTimer);
            attempt.abort();
          }
        },
        onData,
        onEnd,
        onFailure: (failure, reason, isDisconnected) => {
          clearTimeout(orphanTimer);
          result.isDisconnected = isDisconnected;
          result.isCrashSuspected = isDisconnected && !isOutputSustained;
          finish(AttemptOutcome.failed, reason, failure);
        },
      },
      {
        remainingMs,
        // A refusal written once more on a kept connection would pass for one of the second attempt.
        needsFreshConnection:
          options.isResent || (route.retryPolicy === RetryPolicy.once && !route.isStream),
        lastEventId,
        // The start of a stream and its rest come from one software version only if the process is known.
        needsSameProcess: isResumed,
        mayStillSend: () =>
          !context.evacuations.isEvacuated(server.dataCentre) &&
          (!isResumed || isStillRegistered()),
        mayBeStopping: () => context.mayBeStopping(server),
      },
    );
    response.signal.addEventListener('abort', handleCallerAbort, { once: true });
    if (response.signal.aborted) handleCallerAbort();
  });
}
