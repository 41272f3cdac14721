import { BackendServerError, readResponseBody } from '../../../adapters/backendServer/index.js';
import {
  OUTCOME_HEADER,
  readBody,
  sendResponse,
  type CallerRequest,
} from '../../../adapters/callerHttp/index.js';
import type { Admission } from '../../../coordination/createRateLimiter/index.js';
import type { DispatchPermit } from '../../../coordination/createDispatcher/index.js';
import { hashText } from '../../../decisions/bundle/hashText/index.js';
import type { BundleRoute, RequestClass } from '../../../decisions/bundle/types.js';
import type { StoredResponse } from '../../../decisions/claims/types.js';
import { ExecutionOutcome, RequestError } from '../../../errors/index.js';
import { admitRequest, chooseClass, DEFAULT_DEADLINE_MS } from '../_lib/admitRequest.js';
import { checkKey, checkKeyNotExposed } from '../_lib/authenticate.js';
import { buildBackendHeaders, pickReturnedHeaders } from '../_lib/backendHeaders.js';
import { buildPlainTarget } from '../_lib/createBackendDirectory.js';
import { openRequestScope } from '../_lib/openRequestScope.js';
import { createAnswerReservation, createBackendFailure, createRefusal } from '../_lib/refusals.js';
import { runAttempts } from '../_lib/runAttempts.js';
import { runClaimed } from '../_lib/runClaimed.js';
import type { Caller, EntryContext, RequestRecord } from '../types.js';

const MAX_IDEMPOTENCY_KEY_CHARACTERS = 255;
/** Weight in fair queueing of requests on open routes, which belong to no organisation. */
const OPEN_ROUTE_RATE = 1;

/** A request to a plain service, with the data that its attempts share. */
interface PlainRun {
  context: EntryContext;
  request: CallerRequest;
  route: BundleRoute;
  /** Omitted on open routes, which need no key. */
  caller?: Caller;
  body: Buffer;
  class: RequestClass;
  deadlineAtMs: number;
  record: RequestRecord;
}

/** Response of a plain service, with the headers that are returned to the caller. */
interface PlainResponse {
  status: number;
  headers: Record<string, string>;
  body: Buffer;
}

async function callService(
  run: PlainRun,
  permit: DispatchPermit,
  signal?: AbortSignal,
): Promise<PlainResponse> {
  const { context, request, route, caller, body } = run;
  const response = await context.backendClient.call({
    origin: context.backendDirectory.getOrigin(permit.candidate.id) ?? '',
    method: request.method,
    path: request.path + request.query,
    headers: buildBackendHeaders(request, {
      organisation: caller?.organisation.name,
      class: run.class,
    }),
    body: body.length > 0 ? body : undefined,
    signal,
    idempotent: route.idempotent,
  });
  const responseBody = await readResponseBody(response, {
    maximumBytes: context.settings.maximumResponseBytes,
    maximumMs: context.settings.backendHeadersTimeoutMs,
    reserveMemory: createAnswerReservation(request),
  });
  return {
    status: response.status,
    headers: pickReturnedHeaders(response.headers),
    body: responseBody,
  };
}

async function runOnService(run: PlainRun): Promise<PlainResponse> {
  const { context, request, route, caller, record } = run;
  // A request that must not run twice runs to its end, even if its caller has disconnected.
  const isAbortable = route.idempotent;
  const scope = openRequestScope(context, request, caller?.keyDigest, { isAbortable });
  try {
    return await runAttempts(context, {
      dispatch: {
        target: buildPlainTarget(route.service),
        organisation: caller?.organisation.name ?? '',
        rate: caller?.organisation.rate ?? OPEN_ROUTE_RATE,
        tokens: route.tokens,
        class: run.class,
        deadlineAtMs: run.deadlineAtMs,
        signal: scope.signal,
      },
      caller,
      idempotent: route.idempotent,
      record,
      attempt: (permit) => callService(run, permit, scope.signal),
    });
  } catch (error) {
    throw scope.toFailure(error);
  } finally {
    scope.close();
  }
}

function sendPlainResponse(
  request: CallerRequest,
  { status, headers, body }: PlainResponse,
  extraHeaders: Record<string, string> = {},
): void {
  const outcome = status < 500 ? ExecutionOutcome.run : ExecutionOutcome.unknown;
  sendResponse(request, status, { ...headers, [OUTCOME_HEADER]: outcome, ...extraHeaders }, body);
}

function toStoredResponse({ status, headers, body }: PlainResponse): StoredResponse {
  return {
    status,
    contentType: headers['content-type'] ?? 'application/octet-stream',
    body: body.toString('base64'),
  };
}

async function runWithIdempotencyKey(run: PlainRun, idempotencyKey: string): Promise<void> {
  const { context, request, caller, body } = run;
  let ownResponse: PlainResponse | undefined;
  const { answer: storedResponse, isReplayed } = await runClaimed({
    claims: context.claims,
    organisation: caller?.organisation.name ?? '',
    route: `${request.method} ${request.path}`,
    idempotencyKey,
    requestDigest: hashText(`${request.query}\n${body.toString('base64')}`),
    run: async () => {
      ownResponse = await runOnService(run);
      return toStoredResponse(ownResponse);
    },
  });
  if (ownResponse !== undefined) {
    sendPlainResponse(request, ownResponse);
    return;
  }
  const headers = { 'content-type': storedResponse.contentType };
  const replayedResponse = {
    status: storedResponse.status,
    headers,
    body: Buffer.from(storedResponse.body, 'base64'),
  };
  sendPlainResponse(
    request,
    replayedResponse,
    isReplayed ? { 'Idempotency-Replayed': 'true' } : {},
  );
}

function readIdempotencyKey({ incoming }: CallerRequest): string | undefined {
  const key = incoming.headers['idempotency-key'];
  if (key === undefined) return undefined;
  if (typeof key !== 'string' || key === '' || key.length > MAX_IDEMPOTENCY_KEY_CHARACTERS)
    throw createRefusal(
      400,
      'idempotency_key_invalid',
      'send one Idempotency-Key of at most 255 characters',
    );
  return key;
}

async function runAndSettle(run: PlainRun, admission: Admission | undefined): Promise<void> {
  const { route, request } = run;
  const idempotencyKey = route.idempotent ? undefined : readIdempotencyKey(request);
  try {
    if (idempotencyKey === undefined) sendPlainResponse(request, await runOnService(run));
    else await runWithIdempotencyKey(run, idempotencyKey);
    admission?.settle(route.tokens);
  } catch (error) {
    const isNotRun =
      error instanceof RequestError && error.failure.outcome === ExecutionOutcome.notRun;
    admission?.settle(isNotRun ? 0 : route.tokens);
    throw error instanceof BackendServerError
      ? createBackendFailure(error.outcome, error.message)
      : error;
  }
}

/** Handles a request on a route of a plain service. */
export async function handlePlainRoute(
  context: EntryContext,
  request: CallerRequest,
  route: BundleRoute,
  record: RequestRecord,
): Promise<void> {
  const { settings, clock } = context;
  const caller = route.open ? undefined : checkKey(context, request.incoming);
  record.organisation = caller?.organisation.name;
  record.target = route.service;
  const body = await readBody(request, settings.maximumBodyBytes);
  if (caller !== undefined) checkKeyNotExposed(caller, request.path + request.query, body);
  const requestClass = chooseClass(route.class, request.incoming.headers['bronzelanding-class']);
  const deadlineAtMs =
    clock.monotonicMs() + (route.deadlineMs ?? DEFAULT_DEADLINE_MS[requestClass]);
  const run = { context, request, route, caller, body, class: requestClass, deadlineAtMs, record };
  const admission =
    caller === undefined || route.tokens === 0
      ? undefined
      : await admitRequest(context, caller, {
          tokens: route.tokens,
          class: requestClass,
          deadlineAtMs,
        });
  record.tokens = route.tokens;
  await runAndSettle(run, admission);
}
