import { setTimeout as wait } from 'node:timers/promises';
import {
  openStandinServer,
  parseJsonBody,
  sendJsonReply,
  type StandinRequest,
  type StandinServer,
} from '../http.js';

/** Faults of a plain service; numbers count down with each request that meets the fault. */
export interface PlainFaults {
  /** Milliseconds that each call takes. */
  slowMs: number;
  /** Connections cut before the call runs. */
  cutBeforeRun: number;
  /** Connections cut after the call has run. */
  cutAfterRun: number;
  /** Calls refused before they run, with the header that says so. */
  refuse: number;
  /** All calls are refused, since the server is leaving. */
  leaving: boolean;
  /** Answers cut in the middle of the body. */
  truncate: number;
  /** Calls that run and answer with 500. */
  fail: number;
}

/** What a plain service has seen. */
export interface PlainStats {
  /** Runs by the id that the caller's body or path names. */
  runs: Record<string, number>;
  /** Runs by the request id in the head. */
  runsByRequest: Record<string, number>;
  refused: number;
  /** Heads and bodies as they came in, the latest ones. */
  recorded: string[];
}

const KEPT_RECORDS = 20_000;

function findRunId({ body, path }: StandinRequest): string {
  try {
    const { id } = parseJsonBody(body);
    return typeof id === 'string' ? id : path;
  } catch {
    return path;
  }
}

/** Opens the stand-in of a plain service, which counts every run by request. */
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
    sendJsonReply(response, 503, { error: 'refused' }, headers);
  };

  const runCall = async (request: StandinRequest): Promise<void> => {
    const { headers, path, query, body, response, closeConnection } = request;
    stats.recorded.push(JSON.stringify({ headers, path, query, body }));
    if (stats.recorded.length > KEPT_RECORDS) stats.recorded.shift();
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
    const attempt = String(headers['x-request-id']);
    stats.runsByRequest[attempt] = (stats.runsByRequest[attempt] ?? 0) + 1;
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
      sendJsonReply(response, status, { id: runId, runs, server: id, organisation, requestId });
    }
  };

  const server = await openStandinServer(async (request) => {
    if (request.path === '/control/faults') {
      setFaults(parseJsonBody(request.body));
      sendJsonReply(request.response, 200, faults);
    } else if (request.path === '/control/stats') sendJsonReply(request.response, 200, stats);
    else await runCall(request);
  }, port);
  return { ...server, setFaults, stats, faults };
}
