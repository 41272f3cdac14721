import { readResponseBody, type BackendResponse } from '../../../adapters/backendServer/index.js';
import {
  OUTCOME_HEADER,
  readBody,
  sendResponse,
  type CallerRequest,
} from '../../../adapters/callerHttp/index.js';
import type { DispatchPermit } from '../../../coordination/createDispatcher/index.js';
import type { Bundle, BundleModel, RequestClass } from '../../../decisions/bundle/types.js';
import { ExecutionOutcome, RequestError } from '../../../errors/index.js';
import { checkKey, checkKeyNotExposed } from '../_lib/authenticate.js';
import {
  admitRequest,
  chooseClass,
  DEFAULT_DEADLINE_MS,
  ENGINE_PRIORITIES,
} from '../_lib/admitRequest.js';
import { buildBackendHeaders, pickReturnedHeaders } from '../_lib/backendHeaders.js';
import { openRequestScope, type RequestScope } from '../_lib/openRequestScope.js';
import { buildEngineBody, parseCompletion, type Completion } from '../_lib/parseCompletion.js';
import { createAnswerReservation, createRefusal } from '../_lib/refusals.js';
import { relayStream } from '../_lib/relayStream.js';
import { runAttempts } from '../_lib/runAttempts.js';
import type { Caller, EntryContext, RequestRecord } from '../types.js';

/** An admitted completion, with the data that its attempts share. */
interface CompletionRun {
  context: EntryContext;
  request: CallerRequest;
  caller: Caller;
  completion: Completion;
  class: RequestClass;
  scope: RequestScope;
}

function findModel(bundle: Bundle, caller: Caller, name: string): BundleModel {
  const adapter = bundle.adapters.find((item) => item.name === name);
  const model = bundle.models.find((item) => item.name === (adapter?.model ?? name));
  const allowed = caller.organisation.models;
  if (model === undefined || (allowed !== undefined && !allowed.includes(name)))
    throw createRefusal(404, 'model_not_found', `there is no model "${name}"`);
  return model;
}

function callEngine(
  run: CompletionRun,
  permit: DispatchPermit,
  lastEventId?: string,
): Promise<BackendResponse> {
  const { context, request, caller, completion, scope } = run;
  const origin = context.backendDirectory.getOrigin(permit.candidate.id) ?? '';
  const headers = buildBackendHeaders(request, {
    organisation: caller.organisation.name,
    class: run.class,
  });
  const { signal } = scope;
  if (lastEventId !== undefined) {
    const streamId = lastEventId.slice(0, lastEventId.lastIndexOf('/'));
    const path = `/v1/streams/${encodeURIComponent(streamId)}`;
    const resumeHeaders = { ...headers, 'last-event-id': lastEventId };
    return context.backendClient.call({
      origin,
      method: 'GET',
      path,
      headers: resumeHeaders,
      signal,
      idempotent: true,
    });
  }
  const body = buildEngineBody(
    completion,
    permit.candidate.engineModel ?? '',
    ENGINE_PRIORITIES[run.class],
  );
  const { path } = request;
  return context.backendClient.call({
    origin,
    method: 'POST',
    path,
    headers,
    body,
    signal,
    idempotent: true,
  });
}

/** Relays a complete response and returns the tokens that it reports, if any. */
async function relayResponse(
  run: CompletionRun,
  response: BackendResponse,
): Promise<number | undefined> {
  const { context, request } = run;
  const body = await readResponseBody(response, {
    maximumBytes: context.settings.maximumResponseBytes,
    maximumMs: context.settings.backendHeadersTimeoutMs,
    reserveMemory: createAnswerReservation(request),
  });
  const headers = {
    ...pickReturnedHeaders(response.headers),
    [OUTCOME_HEADER]: response.status < 500 ? ExecutionOutcome.run : ExecutionOutcome.unknown,
  };
  sendResponse(request, response.status, headers, body);
  return parseUsage(body);
}

function parseUsage(body: Buffer): number | undefined {
  try {
    const { usage } = JSON.parse(body.toString('utf8')) as { usage?: { total_tokens?: number } };
    return usage?.total_tokens;
  } catch {
    return undefined;
  }
}

async function runOnEngine(
  run: CompletionRun,
  permit: DispatchPermit,
): Promise<number | undefined> {
  const { context, request, completion, scope } = run;
  const response = await callEngine(run, permit);
  if (!completion.isStream || response.status !== 200) return relayResponse(run, response);
  const relayed = await relayStream(
    {
      request,
      open: (lastEventId) => callEngine(run, permit, lastEventId),
      wantsUsage: completion.wantsUsage,
      callerStallMs: context.settings.callerStallMs,
      signal: scope.signal,
    },
    response,
  );
  return relayed.tokens;
}

/** Handles a completion or chat completion, with one response body or a stream. */
export async function handleCompletion(
  context: EntryContext,
  request: CallerRequest,
  record: RequestRecord,
): Promise<void> {
  const { settings, demand, controlState, clock } = context;
  const caller = checkKey(context, request.incoming);
  record.organisation = caller.organisation.name;
  const body = await readBody(request, settings.maximumBodyBytes);
  checkKeyNotExposed(caller, request.path + request.query, body);
  const completion = parseCompletion(body.toString('utf8'), {
    promptBytesPerToken: settings.promptBytesPerToken,
    defaultMaximumTokens: settings.defaultMaximumTokens,
    isChat: request.path.endsWith('/chat/completions'),
  });
  record.target = completion.model;
  const { accepted } = controlState.get();
  if (accepted === undefined) throw createRefusal(503, 'no_bundle', 'no bundle is in force', 1);
  const model = findModel(accepted.bundle, caller, completion.model);
  const requestClass = chooseClass(model.class, request.incoming.headers['bronzelanding-class']);
  const deadlineMs = model.deadlineMs ?? DEFAULT_DEADLINE_MS[requestClass];
  const deadlineAtMs = clock.monotonicMs() + deadlineMs;
  const { tokens, prefix } = completion;
  demand.record(completion.model, tokens);
  const admissionParameters = { tokens, class: requestClass, deadlineAtMs };
  const admission = await admitRequest(context, caller, admissionParameters);
  const scope = openRequestScope(context, request, caller.keyDigest, { isAbortable: true });
  const run = { context, request, caller, completion, class: requestClass, scope };
  try {
    const usedTokens = await runAttempts(context, {
      dispatch: {
        target: completion.model,
        organisation: caller.organisation.name,
        rate: caller.organisation.rate,
        tokens,
        class: requestClass,
        deadlineAtMs,
        prefix,
        signal: scope.signal,
      },
      caller,
      idempotent: true,
      record,
      attempt: (permit) => runOnEngine(run, permit),
      hasResponseStarted: () => request.response.headersSent,
    });
    record.tokens = usedTokens ?? tokens;
    admission.settle(usedTokens ?? tokens);
  } catch (error) {
    const isNotRun =
      error instanceof RequestError && error.failure.outcome === ExecutionOutcome.notRun;
    admission.settle(isNotRun ? 0 : tokens);
    throw scope.toFailure(error);
  } finally {
    scope.close();
  }
}
