import { setTimeout as wait } from 'node:timers/promises';
import { Agent } from 'undici';
import type { TraceEntry, TraceResult } from '../types.js';
import { sendEntry } from './sendEntry.js';

/** Options of runTrace. */
export interface RunTraceOptions {
  /** Origins of the entry hosts; a trace's host index is taken modulo their number. */
  origins: readonly string[];
  /** API keys by organisation. */
  keys: Readonly<Record<string, string>>;
  /** Prefix of the request ids. */
  runId?: string;
  /** Called after each result with the number of ended requests. */
  onResult?: (result: TraceResult, done: number) => void;
}

/**
 * Runs a trace open-loop: each request is sent when it is due, regardless of earlier ones. Latencies are
 * measured from the due time, so that a stall counts for every request that it delays.
 */
export async function runTrace(
  trace: readonly TraceEntry[],
  options: RunTraceOptions,
): Promise<TraceResult[]> {
  const { origins, keys, runId = 'load', onResult = () => undefined } = options;
  const dispatcher = new Agent({
    connections: 512,
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  const startedAtMs = performance.now();
  const pendingResults: Promise<TraceResult>[] = [];
  let endedCount = 0;
  for (const [index, entry] of trace.entries()) {
    const delayMs = startedAtMs + entry.atMs - performance.now();
    if (delayMs > 0) await wait(delayMs);
    const pendingResult = sendEntry(entry, {
      origin: origins[entry.host % origins.length] ?? '',
      key: keys[entry.organisation] ?? '',
      id: `${runId}-${index}`,
      dispatcher,
      elapsedMs: () => performance.now() - startedAtMs - entry.atMs,
    });
    pendingResults.push(pendingResult);
    void pendingResult.then((result) => {
      endedCount += 1;
      onResult(result, endedCount);
    });
  }
  const results = await Promise.all(pendingResults);
  await dispatcher.close();
  return results;
}
