import type { RoutedRequest } from '../../../decisions/serving/types.js';
import type { CallerResponse, ServingRequest } from '../../../ports/serving.js';
import type { ServingContext } from '../../types.js';

/** Shortest time after which a caller is asked to come back, in milliseconds. */
export const MIN_RETRY_AFTER_MS = 150; // a few rounds of the fleet's figures
const MOST_RETRY_AFTER_MS = 5000; // the longest load of a model

/** Describes a request for routing. */
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
    ownTokens: Math.max(0, promptTokens - sharedTokens) + maximumOutputTokens,
    isUrgent: request.route.priority === 0,
  };
}

/** What a request came to while it was served. */
export interface RequestState {
  context: ServingContext;
  request: ServingRequest;
  reply: CallerResponse;
  routed: RoutedRequest;
  excludedServers: Set<string>;
  sends: number;
  attemptsRun: number;
  /** Servers that said that they lack the adapter. */
  missing: Set<string>;
  lastEventId?: string;
  lastReason: string;
  lastServer?: string;
}

/** Computes the milliseconds that are left for a request. */
export function computeRemainingMs({ context, request }: RequestState): number {
  return request.deadlineAtMs - context.clock.monotonicMs();
}

/** Logs and counts the end of a request with what decided it. */
export function recordCompletion(
  course: RequestState,
  status: number,
  reason: string,
  inputs: object = {},
): void {
  const { context, request } = course;
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
      server: course.lastServer,
      status,
      sends: course.sends,
      attemptsRun: course.attemptsRun,
      elapsedMs: Math.round(elapsedMs),
      target: status >= 500 ? request.target : undefined,
      version: context.getConfigurationVersion(),
      ...inputs,
    },
    reason,
  );
}

/** What decided a failure, for the log. */
type FailureInputs = { retryAfterMs?: number } & Record<string, unknown>;

/** Ends a request with an answer of the system's own; a started answer is cut instead. */
export function failRequest(
  course: RequestState,
  status: number,
  reason: string,
  { retryAfterMs, ...inputs }: FailureInputs = {},
): void {
  const { reply } = course;
  recordCompletion(course, status, reason, { retryAfterMs, ...inputs });
  if (reply.signal.aborted) return;
  if (reply.isHeadSent()) reply.resetConnection();
  else
    reply.fail(
      status,
      reason,
      retryAfterMs === undefined
        ? undefined
        : Math.min(MOST_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, retryAfterMs)),
    );
}

/** Refuses a request that has not run, or owns up to not knowing when an attempt may have run. */
export function refuseRequest(
  course: RequestState,
  reason: string,
  retryAfterMs: number,
  inputs: Record<string, unknown> = {},
): void {
  const all = { cause: course.lastReason, ...inputs };
  if (course.attemptsRun > 0) failRequest(course, 502, 'attempt failed, outcome unknown', all);
  else failRequest(course, 503, reason, { ...all, retryAfterMs });
}
