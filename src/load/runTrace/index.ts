import { setTimeout as wait } from 'node:timers/promises';
import { Agent } from 'undici';
import type { TraceEntry, TraceResult } from '../types.js';
import { sendEntry } from './sendEntry.js';

/** Options of a run. */
export interface RunTraceOptions {
  /** Origins of the entry hosts; a trace's host index counts modulo their number. */
  origins: readonly string[];
  /** Keys by organisation. */
  keys: Readonly<Record<string, string>>;
  /** Prefix of the requests' ids. */
  runId?: string;
  /** Called after each result. */
  onResult?: (result: TraceResult, done: number) => void;
}

/**
 * Runs a trace open-loop: each request is sent when it is due, however long earlier ones take, and its
 * times count from then, so that a stall shows in every request that it delayed.
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
  const startedAt = performance.now();
  const running: Promise<TraceResult>[] = [];
  let done = 0;
  for (const [index, entry] of trace.entries()) {
    const ahead = startedAt + entry.atMs - performance.now();
    if (ahead > 0) await wait(ahead);
    const sent = sendEntry(entry, {
      origin: origins[entry.host % origins.length] ?? '',
      key: keys[entry.organisation] ?? '',
      id: `${runId}-${index}`,
      dispatcher,
      elapsedMs: () => performance.now() - startedAt - entry.atMs,
    });
    running.push(sent);
    void sent.then((result) => {
      done += 1;
      onResult(result, done);
    });
  }
  const results = await Promise.all(running);
  await dispatcher.close();
  return results;
}
