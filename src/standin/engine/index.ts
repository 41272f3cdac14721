import { randomUUID } from 'node:crypto';
import { setTimeout as wait } from 'node:timers/promises';
import type { EngineOrder } from '../../ports/engine.js';
import {
  openStandinServer,
  parseJsonBody,
  sendJsonResponse,
  type StandinRequest,
  type StandinServer,
} from '../http.js';
import { createBatcher, type BatcherOptions } from './createBatcher.js';
import { createEngineMemory } from './createEngineMemory.js';
import { createCompletionGenerator, type CompletionBody } from './createCompletionGenerator.js';
import { createStreams } from './createStreams.js';
import { pullWeights } from './pullWeights.js';

/** Injected faults of an engine; each count decreases with every request that the fault affects. */
export interface EngineFaults {
  /** Number of orders to lose before they take effect. */
  loseOrders: number;
  /** Number of orders that take effect but whose responses are lost. */
  loseOrderAnswers: number;
  /** Milliseconds by which orders take effect late; the sender may have timed out by then. */
  delayOrdersMs: number;
  /** Number of streams to cut off. */
  cutStreams: number;
  /** Number of events that are sent before a stream is cut off. */
  cutAfterEvents: number;
  /** Whether streams that were cut off can be resumed. */
  resumes: boolean;
  /** Number of connections to close before the request runs. */
  cutBeforeRun: number;
  /** New requests are refused with the header that reports draining. */
  leaving: boolean;
  /** Connections of report requests are closed without a response. */
  muteReports: boolean;
}

/** Options of an engine stand-in. */
export interface EngineStandinOptions extends Partial<BatcherOptions> {
  id: string;
  memoryBytes: number;
  checksFencing?: boolean;
  reportLagMs?: number;
  /** Origin of the weight store; without one, loads complete immediately. */
  weightStore?: string;
  port?: number;
}

/** Counters and recorded requests of an engine stand-in. */
export interface EngineStats {
  incarnation: string;
  overcommits: number;
  requests: number;
  /** Number of runs by the X-Request-Id header of the request. */
  runs: Record<string, number>;
  cancelled: number;
  cacheHits: number;
  refusedOrders: number;
  /** The latest requests as JSON. */
  recorded: string[];
}

const MAX_RECORDED_REQUESTS = 5000;

/** Opens an HTTP stand-in of a model engine, with control calls for orders, reports, faults and statistics. */
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
  const counters = { requests: 0, refusedOrders: 0 };
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
      await pullWeights(weightStore, kind);
    },
  });
  const generator = createCompletionGenerator({ memory, batcher, streams });
  const setFaults = (changes: Partial<EngineFaults>): void => void Object.assign(faults, changes);

  const handleOrder = async ({
    body,
    response,
    closeConnection,
  }: StandinRequest): Promise<void> => {
    if (faults.loseOrders > 0) {
      faults.loseOrders -= 1;
      closeConnection();
      return;
    }
    if (faults.delayOrdersMs > 0) await wait(faults.delayOrdersMs);
    const reply = memory.applyOrder(JSON.parse(body) as EngineOrder);
    if (!reply.accepted) counters.refusedOrders += 1;
    if (faults.loseOrderAnswers > 0) {
      faults.loseOrderAnswers -= 1;
      closeConnection();
    } else sendJsonResponse(response, 200, reply);
  };

  const refuse = ({ response }: StandinRequest, status: number, code: string): void => {
    const leaving: Record<string, string> = faults.leaving
      ? { 'bronzelanding-leaving': 'true' }
      : {};
    const headers = { 'bronzelanding-outcome': 'not-run', ...leaving };
    sendJsonResponse(response, status, { error: { message: code, code } }, headers);
  };

  const handleCompletion = async (request: StandinRequest): Promise<void> => {
    const { headers, path, query, response } = request;
    recorded.push(JSON.stringify({ headers, path, query, body: request.body }));
    if (recorded.length > MAX_RECORDED_REQUESTS) recorded.shift();
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
    counters.requests += 1;
    const requestId = String(headers['x-request-id']);
    runs[requestId] = (runs[requestId] ?? 0) + 1;
    const generation = streams.create();
    const isChat = path.endsWith('/chat/completions');
    if (body.stream !== true) {
      await generator.sendCompletion(generation, body, isChat, request);
      return;
    }
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    void generator.generate(generation, body, isChat);
    const isCut = faults.cutStreams > 0;
    if (isCut) faults.cutStreams -= 1;
    await streams.serve(generation, 0, response, isCut ? faults.cutAfterEvents : undefined);
  };

  const resumeStream = async ({ path, headers, response }: StandinRequest): Promise<void> => {
    const generation = streams.find(decodeURIComponent(path.slice('/v1/streams/'.length)));
    if (generation === undefined || !faults.resumes) {
      sendJsonResponse(response, 404, { error: { code: 'stream_not_found' } });
      return;
    }
    const lastEventId = String(headers['last-event-id'] ?? '');
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    await streams.serve(
      generation,
      Number(lastEventId.slice(lastEventId.lastIndexOf('/') + 1)),
      response,
    );
  };

  const getStats = (): EngineStats => ({
    incarnation,
    overcommits: memory.countOvercommits(),
    requests: counters.requests,
    runs,
    cancelled: streams.countCancelled(),
    cacheHits: batcher.countCacheHits(),
    refusedOrders: counters.refusedOrders,
    recorded,
  });

  const handle = async (request: StandinRequest): Promise<void> => {
    const { path, query, response, closeConnection } = request;
    if (path === '/control/orders') await handleOrder(request);
    else if (path === '/control/report') {
      if (faults.muteReports) closeConnection();
      else
        sendJsonResponse(
          response,
          200,
          memory.buildReport(batcher.countRunning() + batcher.countWaiting()),
        );
    } else if (path === '/control/cache-events') {
      const after = Number(new URLSearchParams(query).get('after') ?? 0);
      sendJsonResponse(response, 200, { events: batcher.listCacheEvents(after) });
    } else if (path === '/control/faults') {
      setFaults(parseJsonBody(request.body));
      sendJsonResponse(response, 200, faults);
    } else if (path === '/control/stats') sendJsonResponse(response, 200, getStats());
    else if (path.startsWith('/v1/streams/')) await resumeStream(request);
    else if (path === '/v1/completions' || path === '/v1/chat/completions')
      await handleCompletion(request);
    else sendJsonResponse(response, 404, { error: `no ${path}` });
  };
  const server = await openStandinServer(handle, options.port ?? 0);
  return { ...server, setFaults, getStats };
}
