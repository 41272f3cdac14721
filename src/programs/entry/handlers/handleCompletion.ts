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
import { createRefusal } from '../_lib/refusals.js';
import { relayStream } from '../_lib/relayStream.js';
import { runAttempts } from '../_lib/runAttempts.js';
import type { Caller, EntryContext, RequestRecord } from '../types.js';

/** A completion on its way, with all that its attempts need. */
interface CompletionRun {
  context: EntryContext;
  request: CallerRequest;
  caller: Caller;
  completion: Completion;
  class: RequestClass;
  call: RequestScope;
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
  place: DispatchPermit,
  lastEventId?: string,
): Promise<BackendResponse> {
  const { context, request, caller, completion, call } = run;
  const origin = context.backendDirectory.getOrigin(place.candidate.id) ?? '';
  const headers = buildBackendHeaders(request, {
    organisation: caller.organisation.name,
    class: run.class,
  });
  const { signal } = call;
  if (lastEventId !== undefined) {
    const streamId = lastEventId.slice(0, lastEventId.lastIndexOf('/'));
    const path = `/v1/streams/${encodeURIComponent(streamId)}`;
    const resumed = { ...headers, 'last-event-id': lastEventId };
    return context.backendClient.call({
      origin,
      method: 'GET',
      path,
      headers: resumed,
      signal,
      idempotent: true,
    });
  }
  const body = buildEngineBody(
    completion,
    place.candidate.engineModel ?? '',
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

/** Sends a whole answer on and returns the tokens it cost, when it says so. */
async function relayWhole(
  run: CompletionRun,
  answer: BackendResponse,
): Promise<number | undefined> {
  const { context, request } = run;
  const body = await readResponseBody(answer, context.settings.maximumAnswerBytes);
  const headers = {
    ...pickReturnedHeaders(answer.headers),
    [OUTCOME_HEADER]: answer.status < 500 ? ExecutionOutcome.run : ExecutionOutcome.unknown,
  };
  sendResponse(request, answer.status, headers, body);
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

async function runOnEngine(run: CompletionRun, place: DispatchPermit): Promise<number | undefined> {
  const { context, request, completion, call } = run;
  const answer = await callEngine(run, place);
  if (!completion.isStream || answer.status !== 200) return relayWhole(run, answer);
  const relayed = await relayStream(
    {
      request,
      open: (lastEventId) => callEngine(run, place, lastEventId),
      wantsUsage: completion.wantsUsage,
      callerStallMs: context.settings.callerStallMs,
      signal: call.signal,
    },
    answer,
  );
  return relayed.tokens;
}

/** Answers a completion or chat completion, whole or as a stream. */
export async function handleCompletion(
  context: EntryContext,
  request: CallerRequest,
  record: RequestRecord,
): Promise<void> {
  const { settings, demand, controlState, clock } = context;
  const caller = checkKey(context, request.incoming);
  record.organisation = caller.organisation.name;
  const body = await readBody(request.incoming, settings.maximumBodyBytes);
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
  const admittance = { tokens, class: requestClass, deadlineAtMs };
  const admission = await admitRequest(context, caller, admittance);
  const call = openRequestScope(context, request, caller.keyDigest, { cancelsOnDisconnect: true });
  const run = { context, request, caller, completion, class: requestClass, call };
  try {
    const used = await runAttempts(context, {
      dispatch: {
        target: completion.model,
        organisation: caller.organisation.name,
        rate: caller.organisation.rate,
        tokens,
        class: requestClass,
        deadlineAtMs,
        prefix,
        signal: call.signal,
      },
      caller,
      idempotent: true,
      record,
      attempt: (place) => runOnEngine(run, place),
      hasResponseStarted: () => request.response.headersSent,
    });
    record.tokens = used ?? tokens;
    admission.settle(used ?? tokens);
  } catch (error) {
    const isNotRun =
      error instanceof RequestError && error.failure.outcome === ExecutionOutcome.notRun;
    admission.settle(isNotRun ? 0 : tokens);
    throw call.toFailure(error);
  } finally {
    call.close();
  }
}
