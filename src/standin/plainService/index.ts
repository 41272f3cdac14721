import { setTimeout as wait } from 'node:timers/promises';
import {
  openStandinServer,
  parseJsonBody,
  sendJsonResponse,
  type StandinRequest,
  type StandinServer,
} from '../http.js';

/** Injected faults of a plain service; each count decreases with every call that the fault affects. */
export interface PlainFaults {
  /** Delay of each call in milliseconds. */
  slowMs: number;
  /** Number of connections to close before the call runs. */
  cutBeforeRun: number;
  /** Number of connections to close after the call has run. */
  cutAfterRun: number;
  /** Number of calls to refuse before they run, with the header that reports it. */
  refuse: number;
  /** All calls are refused with the header that reports draining. */
  leaving: boolean;
  /** Number of responses to truncate within the body. */
  truncate: number;
  /** Number of calls that run and respond with status 500. */
  fail: number;
}

/** Counters and recorded requests of a plain service. */
export interface PlainStats {
  /** Number of runs by the `id` in the request body, or by path without one. */
  runs: Record<string, number>;
  /** Number of runs by the X-Request-Id header. */
  runsByRequest: Record<string, number>;
  refused: number;
  /** Headers, paths and bodies of the latest requests as JSON. */
  recorded: string[];
}

const MAX_RECORDED_REQUESTS = 20_000;

function findRunId({ body, path }: StandinRequest): string {
  try {
    const { id } = parseJsonBody(body);
    return typeof id === 'string' ? id : path;
  } catch {
    return path;
  }
}

/** Opens an HTTP stand-in of a plain service that counts the runs of each request. */
export async function openPlainStandin(
  id: string,
  port = 0,
): Promise<
  StandinServer & {
    setFaults: (faults: Partial<PlainFaults>) => void;
    stats: PlainStats;
    faults: PlainFaults;
  }
> {
  const faults: PlainFaults = {
    slowMs: 0,
    cutBeforeRun: 0,
    cutAfterRun: 0,
    refuse: 0,
    leaving: false,
    truncate: 0,
    fail: 0,
  };
  const stats: PlainStats = { runs: {}, runsByRequest: {}, refused: 0, recorded: [] };
  const setFaults = (changes: Partial<PlainFaults>): void => void Object.assign(faults, changes);

  const takeFault = (
    name: 'cutBeforeRun' | 'cutAfterRun' | 'refuse' | 'truncate' | 'fail',
  ): boolean => {
    if (faults[name] <= 0) return false;
    faults[name] -= 1;
    return true;
  };

  const refuse = ({ response }: StandinRequest): void => {
    stats.refused += 1;
    const leaving: Record<string, string> = faults.leaving
      ? { 'bronzelanding-leaving': 'true' }
      : {};
    const headers = { 'bronzelanding-outcome': 'not-run', ...leaving };
    sendJsonResponse(response, 503, { error: 'refused' }, headers);
  };

  const runCall = async (request: StandinRequest): Promise<void> => {
    const { headers, path, query, body, response, closeConnection } = request;
    stats.recorded.push(JSON.stringify({ headers, path, query, body }));
    if (stats.recorded.length > MAX_RECORDED_REQUESTS) stats.recorded.shift();
    if (takeFault('cutBeforeRun')) {
      closeConnection();
      return;
    }
    if (faults.leaving || takeFault('refuse')) {
      refuse(request);
      return;
    }
    const runId = findRunId(request);
    const runs = (stats.runs[runId] ?? 0) + 1;
    stats.runs[runId] = runs;
    const requestKey = String(headers['x-request-id']);
    stats.runsByRequest[requestKey] = (stats.runsByRequest[requestKey] ?? 0) + 1;
    if (faults.slowMs > 0) await wait(faults.slowMs);
    if (takeFault('cutAfterRun')) closeConnection();
    else if (takeFault('truncate')) {
      response.writeHead(200, { 'content-type': 'application/json', 'content-length': 1000 });
      response.write('{"id":');
      setImmediate(closeConnection);
    } else {
      const organisation = headers['bronzelanding-organisation'] ?? null;
      const requestId = headers['x-request-id'] ?? null;
      const status = takeFault('fail') ? 500 : 200;
      sendJsonResponse(response, status, { id: runId, runs, server: id, organisation, requestId });
    }
  };

  const server = await openStandinServer(async (request) => {
    if (request.path === '/control/faults') {
      setFaults(parseJsonBody(request.body));
      sendJsonResponse(request.response, 200, faults);
    } else if (request.path === '/control/stats') sendJsonResponse(request.response, 200, stats);
    else await runCall(request);
  }, port);
  return { ...server, setFaults, stats, faults };
}
