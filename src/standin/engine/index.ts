import { randomUUID } from 'node:crypto';
import { setTimeout as wait } from 'node:timers/promises';
import { request as sendRequest } from 'undici';
import type { EngineOrder } from '../../ports/engine.js';
import {
  openStandinServer,
  parseJsonBody,
  sendJsonReply,
  type StandinRequest,
  type StandinServer,
} from '../http.js';
import { createBatcher, type BatcherOptions } from './createBatcher.js';
import { createEngineMemory } from './createEngineMemory.js';
import { buildTokens } from './buildTokens.js';
import { createStreams, type Generation } from './createStreams.js';

/** Faults of an engine; numbers count down with each request that meets the fault. */
export interface EngineFaults {
  /** Orders that are lost on the way. */
  loseOrders: number;
  /** Orders that take effect but whose answers are lost. */
  loseOrderAnswers: number;
  /** Milliseconds that orders are late, though their sender is answered by then or gone. */
  delayOrdersMs: number;
  /** Streams cut after some events. */
  cutStreams: number;
  /** Events before a stream is cut. */
  cutAfterEvents: number;
  /** Whether cut streams can be read again. */
  resumes: boolean;
  /** Connections cut before a request runs. */
  cutBeforeRun: number;
  leaving: boolean;
  /** Reports are not answered. */
  muteReports: boolean;
}

/** How an engine stand-in is set up. */
export interface EngineStandinOptions extends Partial<BatcherOptions> {
  id: string;
  memoryBytes: number;
  checksFencing?: boolean;
  reportLagMs?: number;
  /** Origin of the weight store; loads are instant without one. */
  weightStore?: string;
  port?: number;
}

/** What an engine has seen. */
export interface EngineStats {
  incarnation: string;
  overcommits: number;
  requests: number;
  /** Runs by the request id that the caller's request carried. */
  runs: Record<string, number>;
  cancelled: number;
  cacheHits: number;
  refusedOrders: number;
  recorded: string[];
}

const KEPT_RECORDS = 5000;
const PREFIX_CHARACTERS = 128;
const MAX_WEIGHT_MS = 600_000;

interface CompletionBody {
  model: string;
  prompt?: unknown;
  messages?: unknown;
  max_tokens: number;
  stream?: boolean;
  priority?: number;
}

/** Opens the stand-in of a model engine. */
export async function openEngineStandin(options: EngineStandinOptions): Promise<
  StandinServer & {
    setFaults: (faults: Partial<EngineFaults>) => void;
    getStats: () => EngineStats;
  }
> {
  const { id, memoryBytes, checksFencing = true, reportLagMs = 100, weightStore } = options;
  const { batchSize = 16, tokenMs = 2, promptMs = 5, cachedPrefixes = 64 } = options;
  const incarnation = randomUUID();
  const batcher = createBatcher({ batchSize, tokenMs, promptMs, cachedPrefixes });
  const streams = createStreams(`${id}-${incarnation.slice(0, 8)}`);
  const counts = { requests: 0, refusedOrders: 0 };
  const runs: Record<string, number> = {};
  const recorded: string[] = [];
  const faults: EngineFaults = {
    loseOrders: 0,
    loseOrderAnswers: 0,
    delayOrdersMs: 0,
    cutStreams: 0,
    cutAfterEvents: 3,
    resumes: true,
    cutBeforeRun: 0,
    leaving: false,
    muteReports: false,
  };
  const memory = createEngineMemory({
    memoryBytes,
    checksFencing,
    reportLagMs,
    incarnation,
    nowMs: () => performance.now(),
    loadWeights: async (kind) => {
      if (weightStore === undefined) return;
      const body = JSON.stringify({ kind });
      const timeouts = { headersTimeout: MAX_WEIGHT_MS, bodyTimeout: MAX_WEIGHT_MS };
      const reply = await sendRequest(`${weightStore}/weights/load`, {
        method: 'POST',
        body,
        ...timeouts,
      });
      await reply.body.dump();
    },
  });
  const setFaults = (changes: Partial<EngineFaults>): void => void Object.assign(faults, changes);

  const takeOrder = async ({ body, response, closeConnection }: StandinRequest): Promise<void> => {
    if (faults.loseOrders > 0) {
      faults.loseOrders -= 1;
      closeConnection();
      return;
    }
    if (faults.delayOrdersMs > 0) await wait(faults.delayOrdersMs);
    const reply = memory.applyOrder(JSON.parse(body) as EngineOrder);
    if (!reply.accepted) counts.refusedOrders += 1;
    if (faults.loseOrderAnswers > 0) {
      faults.loseOrderAnswers -= 1;
      closeConnection();
    } else sendJsonReply(response, 200, reply);
  };

  const generate = async (
    generation: Generation,
    body: CompletionBody,
    isChat: boolean,
  ): Promise<void> => {
    const prompt = JSON.stringify(body.messages ?? body.prompt);
    const endUse = memory.startRequest(body.model);
    const free = await batcher.start(prompt.slice(0, PREFIX_CHARACTERS), body.priority ?? 0);
    const tokens = buildTokens(prompt, body.max_tokens);
    for (const text of tokens) {
      if (generation.isCancelled) break;
      await batcher.waitForToken();
      const choice = isChat ? { index: 0, delta: { content: text } } : { index: 0, text };
      const chunk = { id: generation.id, model: body.model, choices: [choice] };
      streams.addEvent(generation, JSON.stringify(chunk));
    }
    const promptTokens = Math.ceil(prompt.length / 4);
    const usage = {
      prompt_tokens: promptTokens,
      completion_tokens: tokens.length,
      total_tokens: promptTokens + tokens.length,
    };
    streams.addEvent(generation, JSON.stringify({ id: generation.id, choices: [], usage }));
    streams.addEvent(generation, '[DONE]');
    free();
    endUse();
    streams.end(generation);
  };

  const answerWhole = async (
    generation: Generation,
    body: CompletionBody,
    isChat: boolean,
    request: StandinRequest,
  ): Promise<void> => {
    request.response.once('close', () => {
      if (!request.response.writableFinished) generation.isCancelled = true;
    });
    await generate(generation, body, isChat);
    const chunks = generation.events.slice(0, -2).map((data) => JSON.parse(data) as unknown);
    const text = chunks
      .map((chunk) => {
        const { choices } = chunk as { choices: { text?: string; delta?: { content: string } }[] };
        return choices[0]?.text ?? choices[0]?.delta?.content ?? '';
      })
      .join('');
    const { usage } = JSON.parse(generation.events.at(-2) ?? '{}') as { usage: unknown };
    const choice = isChat
      ? { index: 0, message: { role: 'assistant', content: text }, finish_reason: 'length' }
      : { index: 0, text, finish_reason: 'length' };
    sendJsonReply(request.response, 200, {
      id: generation.id,
      model: body.model,
      choices: [choice],
      usage,
    });
  };

  const refuse = ({ response }: StandinRequest, status: number, code: string): void => {
    const leaving: Record<string, string> = faults.leaving
      ? { 'bronzelanding-leaving': 'true' }
      : {};
    const headers = { 'bronzelanding-outcome': 'not-run', ...leaving };
    sendJsonReply(response, status, { error: { message: code, code } }, headers);
  };

  const complete = async (request: StandinRequest): Promise<void> => {
    const { headers, path, query, response } = request;
    recorded.push(JSON.stringify({ headers, path, query, body: request.body }));
    if (recorded.length > KEPT_RECORDS) recorded.shift();
    if (faults.cutBeforeRun > 0) {
      faults.cutBeforeRun -= 1;
      request.closeConnection();
      return;
    }
    if (faults.leaving) {
      refuse(request, 503, 'leaving');
      return;
    }
    const body = parseJsonBody(request.body) as unknown as CompletionBody;
    if (!memory.isResident(body.model)) {
      refuse(request, 404, 'model_not_loaded');
      return;
    }
    counts.requests += 1;
    const requestId = String(headers['x-request-id']);
    runs[requestId] = (runs[requestId] ?? 0) + 1;
    const generation = streams.create();
    const isChat = path.endsWith('/chat/completions');
    if (body.stream !== true) {
      await answerWhole(generation, body, isChat, request);
      return;
    }
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    void generate(generation, body, isChat);
    const isCut = faults.cutStreams > 0;
    if (isCut) faults.cutStreams -= 1;
    await streams.serve(generation, 0, response, isCut ? faults.cutAfterEvents : undefined);
  };

  const resume = async ({ path, headers, response }: StandinRequest): Promise<void> => {
    const generation = streams.find(decodeURIComponent(path.slice('/v1/streams/'.length)));
    if (generation === undefined || !faults.resumes) {
      sendJsonReply(response, 404, { error: { code: 'stream_not_found' } });
      return;
    }
    const last = String(headers['last-event-id'] ?? '');
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    await streams.serve(generation, Number(last.slice(last.lastIndexOf('/') + 1)), response);
  };

  const getStats = (): EngineStats => ({
    incarnation,
    overcommits: memory.countOvercommits(),
    requests: counts.requests,
    runs,
    cancelled: streams.countCancelled(),
    cacheHits: batcher.countCacheHits(),
    refusedOrders: counts.refusedOrders,
    recorded,
  });

  const handle = async (request: StandinRequest): Promise<void> => {
    const { path, query, response, closeConnection } = request;
    if (path === '/control/orders') await takeOrder(request);
    else if (path === '/control/report') {
      if (faults.muteReports) closeConnection();
      else
        sendJsonReply(
          response,
          200,
          memory.buildReport(batcher.countRunning() + batcher.countWaiting()),
        );
    } else if (path === '/control/cache-events') {
      const after = Number(new URLSearchParams(query).get('after') ?? 0);
      sendJsonReply(response, 200, { events: batcher.listCacheEvents(after) });
    } else if (path === '/control/faults') {
      setFaults(parseJsonBody(request.body));
      sendJsonReply(response, 200, faults);
    } else if (path === '/control/stats') sendJsonReply(response, 200, getStats());
    else if (path.startsWith('/v1/streams/')) await resume(request);
    else if (path === '/v1/completions' || path === '/v1/chat/completions') await complete(request);
    else sendJsonReply(response, 404, { error: `no ${path}` });
  };
  const server = await openStandinServer(handle, options.port ?? 0);
  return { ...server, setFaults, getStats };
}
