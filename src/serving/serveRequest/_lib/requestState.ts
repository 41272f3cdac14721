import type { RoutedRequest } from '../../../decisions/serving/types.js';
import type {
  BackendServer,
  CallerResponse,
  ResponseFraming,
  ServingRequest,
} from '../../../ports/serving.js';
import type { BoundVersion } from '../../createServerRegistry/types.js';
import type { StreamVersionFinding } from '../../createStreamVersions/index.js';
import type { ServingContext } from '../../types.js';

/** Lower bound of the Retry-After that callers are given, in milliseconds. */
export const MIN_RETRY_AFTER_MS = 150; // a few rounds, after which loads and bucket levels are newer
const MAX_RETRY_AFTER_MS = 5000; // the longest time to load a model

/** Extracts what routing needs to know of a request. */
export function describeRequest(request: ServingRequest): RoutedRequest {
  const { parts, promptTokens, maximumOutputTokens } = request;
  const shared = parts.slice(0, -1);
  const sharedTokens = shared.reduce((sum, { tokens }) => sum + tokens, 0);
  const lastShared = shared[shared.length - 1];
  const model = `${request.model ?? ''}/${request.adapter ?? ''}`;
  const sharedParts = shared.map(({ id, tokens }) => ({ key: `${model}/${id}`, tokens }));
  return {
    affinityKey: lastShared === undefined ? '' : `${model}/${lastShared.id}`,
    sharedParts,
    sharedTokens,
    unsharedTokens: Math.max(0, promptTokens - sharedTokens) + maximumOutputTokens,
    outputTokens: maximumOutputTokens,
    isUrgent: request.route.priority === 0,
    hasPauseTarget: request.route.pauseTargetMs !== undefined,
  };
}

const MAX_PART_ID_LENGTH = 64; // callers choose the ids, and hosts pass them on to each other

/** Lists the ids of the prompt parts that a request may share with others: all but the last one. */
export function listSharedPartIds({ parts }: ServingRequest): string[] {
  return parts.slice(0, -1).map(({ id }) => id.slice(0, MAX_PART_ID_LENGTH));
}

/** A server that was not chosen for being cold, for the log. */
export interface SkippedColdServer {
  skippedCold: string;
  coldMs: number;
  /** Milliseconds since the news of its cold time arrived. */
  coldAgeMs: number;
}

/** State of a request while it is served. */
export interface RequestState {
  context: ServingContext;
  request: ServingRequest;
  response: CallerResponse;
  routed: RoutedRequest;
  /** Servers that are not tried again. */
  excludedServers: Set<string>;
  /** Attempts sent to servers. */
  sends: number;
  /** Reservations asked for at servers with request limits since the last attempt. */
  reservations: number;
  /** Attempts that a server may have executed. */
  attemptsRun: number;
  /** Whether an attempt had any other end than that its server did not run it; the request is charged then. */
  mayHaveRun: boolean;
  /** Whether a retry was taken from the budget while the current attempt ran. */
  hasReservedRetry: boolean;
  /** Servers that rejected the request for lack of the adapter. */
  missing: Set<string>;
  lastEventId?: string;
  /** Set once the caller has events of a stream, from this request or from the one that it resumes. */
  boundVersion?: BoundVersion;
  /** Server that began the stream for this request; undefined where it is not known. */
  begunBy?: BackendServer;
  /** Which server, of which version, wrote the events of this response up to which one. */
  streamParts: string[];
  /** How the software version of a resumed stream was found. */
  versionFinding?: StreamVersionFinding;
  /** Whether the caller got the complete response. */
  isComplete?: boolean;
  /** Reason for the end of the last attempt. */
  lastReason: string;
  lastServer?: string;
  /** How the last server framed its response. */
  lastFraming?: ResponseFraming;
  /** Milliseconds that it waited in the queue of this host; undefined where it did not. */
  queuedMs?: number;
  /** Whether it left the queue for a server below its limit. */
  isReleased?: boolean;
  /** The cold server that the last choice would otherwise have preferred. */
  skippedCold?: SkippedColdServer;
  /** Age of the list of servers at the last choice, in milliseconds. */
  serversAgeMs?: number;
  /** Evacuated data centres whose servers the last choice skipped. */
  evacuated?: readonly string[];
  /** Age of the set of evacuated data centres at the last choice, in milliseconds. */
  evacuationsAgeMs?: number;
}

/** Computes the milliseconds until the deadline of a request. */
export function computeRemainingMs({ context, request }: RequestState): number {
  return request.deadlineAtMs - context.clock.monotonicMs();
}

/** Lists the evacuated data centres that the last choice skipped, for the log; nothing without any. */
function describeEvacuated({ evacuated = [], evacuationsAgeMs = 0 }: RequestState): object {
  if (evacuated.length === 0) return {};
  return { evacuated: evacuated.join(), evacuationsAgeMs: Math.round(evacuationsAgeMs) };
}

/** Describes the software version of a stream, and what was known of that of a resumed one, for the log. */
function describeVersions(state: RequestState): object {
  const { request, boundVersion, versionFinding, streamParts } = state;
  if (boundVersion === undefined && versionFinding === undefined) return {};
  return {
    softwareVersion: boundVersion?.softwareVersion,
    streamParts: streamParts.join(),
    resumes: request.resumedRequestId,
    lastEventId: request.lastEventId,
    ...(versionFinding && {
      ...versionFinding,
      version: undefined,
      listAgeMs: Math.round(versionFinding.listAgeMs),
    }),
  };
}

/** Logs the end of a request with the values that decided it, and updates the metrics. */
export function recordCompletion(
  state: RequestState,
  status: number,
  reason: string,
  logFields: object = {},
): void {
  const { context, request } = state;
  const elapsedMs = context.clock.monotonicMs() - request.arrivedAtMs;
  context.metrics.countRequest(request.route.name, status, reason);
  context.metrics.recordDuration(request.route.name, elapsedMs);
  context.log.info(
    {
      requestId: request.id,
      route: request.route.name,
      service: request.service,
      organisation: request.organisation?.name,
      model: request.model,
      adapter: request.adapter,
      server: state.lastServer,
      framing: state.lastFraming,
      status,
      sends: state.sends,
      attemptsRun: state.attemptsRun,
      elapsedMs: Math.round(elapsedMs),
      target: status >= 500 ? request.target : undefined,
      // Tells which prompts servers were working on when they failed.
      sharedParts: state.attemptsRun > 0 ? listSharedPartIds(request).join() : undefined,
      serversAgeMs: state.serversAgeMs === undefined ? undefined : Math.round(state.serversAgeMs),
      queuedMs: state.queuedMs === undefined ? undefined : Math.round(state.queuedMs),
      ...describeVersions(state),
      version: context.getConfigurationVersion(),
      ...describeEvacuated(state),
      ...state.skippedCold,
      ...logFields,
    },
    reason,
  );
}

/** Values that decided a failure, for the log; `isRetryExact` lets the retry time go below its lower bound. */
type FailureLogFields = { retryAfterMs?: number; isRetryExact?: boolean } & Record<string, unknown>;

/** Responds with an error; resets the connection when the response has started already. */
export function failRequest(
  state: RequestState,
  status: number,
  reason: string,
  { retryAfterMs, isRetryExact, ...logFields }: FailureLogFields = {},
): void {
  const { response } = state;
  recordCompletion(state, status, reason, { retryAfterMs, ...logFields });
  if (response.signal.aborted) return;
  if (response.isHeadSent()) response.resetConnection();
  else
    response.fail(
      status,
      reason,
      retryAfterMs === undefined
        ? undefined
        : Math.min(
            MAX_RETRY_AFTER_MS,
            Math.max(isRetryExact === true ? 0 : MIN_RETRY_AFTER_MS, retryAfterMs),
          ),
    );
}

/** Responds 503 to a request that has not run, 502 (outcome unknown) if an attempt may have. */
export function refuseRequest(
  state: RequestState,
  reason: string,
  retryAfterMs: number,
  logFields: Record<string, unknown> = {},
): void {
  const allFields = { cause: state.lastReason, ...logFields };
  if (state.attemptsRun > 0) failRequest(state, 502, 'attempt failed, outcome unknown', allFields);
  else failRequest(state, 503, reason, { ...allFields, retryAfterMs });
}
