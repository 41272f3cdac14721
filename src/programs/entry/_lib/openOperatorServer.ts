import { isLeft } from 'fp-ts/lib/Either.js';
import type { JSONWebKeySet } from 'jose';
import { z } from 'zod';
import {
  openCallerServer,
  readBody,
  sendFailure,
  sendJson,
  unexpectedFailure,
  type CallerRequest,
  type CallerServer,
} from '../../../adapters/callerHttp/index.js';
import type { ClientGuard } from '../../../adapters/callerHttp/createClientGuard/index.js';
import { verifyWithdrawal } from '../../../decisions/keys/verifyWithdrawal/index.js';
import { RequestError } from '../../../errors/index.js';
import type { Clock } from '../../../ports/clock.js';
import type { EntrySettings } from '../settings.js';
import { createRefusal } from './refusals.js';

/** Dependencies and options of the operator server. */
export interface OperatorServerOptions {
  settings: EntrySettings;
  clock: Clock;
  guard: ClientGuard;
  operatorKeys: JSONWebKeySet;
  collectStatus: () => unknown;
  /** Applies withdrawals whose signatures were verified, and sends new ones to all peers. */
  applyWithdrawals: (signed: string[]) => Promise<void>;
}

const withdrawalsBody = z.object({ signed: z.array(z.string()).min(1).max(1000) });

async function handleWithdrawals(
  options: OperatorServerOptions,
  request: CallerRequest,
): Promise<void> {
  const body = await readBody(request, options.settings.maximumBodyBytes);
  const parsed = withdrawalsBody.safeParse(parseJson(body.toString('utf8')));
  if (!parsed.success) throw createRefusal(400, 'body_invalid', 'send {"signed": [JWS, ...]}');
  for (const signed of parsed.data.signed) {
    const verified = await verifyWithdrawal(signed, options.operatorKeys);
    if (isLeft(verified)) throw createRefusal(403, 'signature_invalid', verified.left);
  }
  await options.applyWithdrawals(parsed.data.signed);
  sendJson(request, 200, { taken: parsed.data.signed.length });
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

async function handleOperatorRequest(
  options: OperatorServerOptions,
  request: CallerRequest,
): Promise<void> {
  const { method, path } = request;
  try {
    if (method === 'GET' && path === '/status') sendJson(request, 200, options.collectStatus());
    else if (method === 'POST' && path === '/withdrawals')
      await handleWithdrawals(options, request);
    else throw createRefusal(404, 'route_not_found', `there is no ${method} ${path}`);
  } catch (error) {
    if (error instanceof RequestError) sendFailure(request, error.message, error.failure);
    else sendFailure(request, 'internal error', unexpectedFailure);
  }
}

/** Opens the server for operators: status, and key withdrawals, which are authenticated by their signature. */
export function openOperatorServer(options: OperatorServerOptions): Promise<CallerServer> {
  const { settings, clock } = options;
  return openCallerServer({
    address: settings.address,
    port: settings.operatorPort,
    limits: settings,
    clock,
    guard: options.guard,
    handle: (request) => handleOperatorRequest(options, request),
  });
}
