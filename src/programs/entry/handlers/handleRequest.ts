import {
  sendFailure,
  sendJson,
  unexpectedFailure,
  type CallerRequest,
} from '../../../adapters/callerHttp/index.js';
import { BackendServerError } from '../../../adapters/backendServer/index.js';
import { formatError, RequestError, type RequestFailure } from '../../../errors/index.js';
import { findRoute } from '../_lib/findRoute.js';
import { createBackendFailure, createRefusal } from '../_lib/refusals.js';
import type { EntryContext, RequestRecord } from '../types.js';
import { handleCompletion } from './handleCompletion.js';
import { handleModels } from './handleModels.js';
import { handlePlainRoute } from './handlePlainRoute.js';

const COMPLETION_PATHS = new Set(['/v1/completions', '/v1/chat/completions']);

/** Readiness of a host, which the load balancer checks. */
export interface HostHealth {
  /** Returns why the host should receive no traffic; undefined when it is ready. */
  getUnreadyReason: () => string | undefined;
}

function handleHealth(request: CallerRequest, health: HostHealth): boolean {
  if (request.method !== 'GET') return false;
  if (request.path === '/healthz') {
    sendJson(request, 200, { status: 'alive' });
    return true;
  }
  if (request.path !== '/readyz') return false;
  const reason = health.getUnreadyReason();
  if (reason === undefined) sendJson(request, 200, { status: 'ready' });
  else sendJson(request, 503, { status: 'not ready', reason });
  return true;
}

async function runHandler(
  context: EntryContext,
  request: CallerRequest,
  record: RequestRecord,
): Promise<void> {
  const { method, path } = request;
  if (method === 'POST' && COMPLETION_PATHS.has(path)) {
    await handleCompletion(context, request, record);
    return;
  }
  if (method === 'GET' && path === '/v1/models') {
    handleModels(context, request, record);
    return;
  }
  const bundle = context.controlState.get().accepted?.bundle;
  if (bundle === undefined) throw createRefusal(503, 'no_bundle', 'no bundle is in force', 1);
  const route = findRoute(bundle.routes, method, path);
  if (route === undefined)
    throw createRefusal(404, 'route_not_found', `there is no route ${method} ${path}`);
  await handlePlainRoute(context, request, route, record);
}

function toFailure(error: unknown): RequestFailure {
  if (error instanceof RequestError) return error.failure;
  if (error instanceof BackendServerError)
    return createBackendFailure(error.outcome, error.message).failure;
  return unexpectedFailure;
}

/** Handles one request of a caller; errors are sent as its response and recorded in its log line. */
export async function handleRequest(
  context: EntryContext,
  health: HostHealth,
  request: CallerRequest,
): Promise<void> {
  if (handleHealth(request, health)) return;
  const { log, metrics, clock } = context;
  const record: RequestRecord = {};
  try {
    await runHandler(context, request, record);
    record.outcome = 'run';
  } catch (error) {
    const failure = toFailure(error);
    record.outcome = failure.outcome;
    record.code = failure.code;
    if (failure === unexpectedFailure)
      log.error(
        { requestId: request.id, error: formatError(error) },
        'request failed unexpectedly',
      );
    const message = failure === unexpectedFailure ? 'internal error' : formatError(error);
    sendFailure(request, message, failure);
  }
  const durationMs = Math.round(clock.monotonicMs() - request.startedAtMs);
  const { statusCode } = request.response;
  const { organisation = 'none', outcome = 'unknown' } = record;
  metrics.increment('requests', 1, { organisation, outcome, status: String(statusCode) });
  metrics.timing('request_duration', durationMs, { organisation });
  log.info(
    {
      requestId: request.id,
      method: request.method,
      path: request.path,
      status: statusCode,
      durationMs,
      ...record,
    },
    'request ended',
  );
}
