import { setTimeout as wait } from 'node:timers/promises';
import { Agent } from 'undici';
import { sendEntry } from '#dist/load/runTrace/sendEntry.js';
import { LoadKind, type TraceEntry, type TraceResult } from '#dist/load/types.js';
import type { DemoEntry } from './startDemoFleet.js';

/** One request of the demo with all of its attempts. */
export interface RequestHistory {
  id: string;
  entry: TraceEntry;
  /** Whether an attempt got a complete response. */
  isWhole: boolean;
  /** Request id and result of each attempt. */
  attempts: { requestId: string; status: number; outcome: string }[];
}

const READINESS_POLL_INTERVAL_MS = 100;
const RETRY_DELAY_MS = 100;
const MAX_ATTEMPTS = 60;

/** Polls the readiness of the entry hosts and picks among the ready ones, as the platform's load balancer does. */
export function startLoadBalancer(entries: readonly DemoEntry[]): {
  pick: (index: number) => string;
  stop: () => void;
} {
  let readyOrigins = entries.map(({ origin }) => origin);
  const pollReadiness = async (): Promise<void> => {
    const checks = entries.map(({ origin }) =>
      fetch(`${origin}/readyz`, { signal: AbortSignal.timeout(1000) }).then(
        (response) => response.ok,
        () => false,
      ),
    );
    const areReady = await Promise.all(checks);
    readyOrigins = entries.filter((_entry, index) => areReady[index]).map(({ origin }) => origin);
  };
  const timer = setInterval(() => void pollReadiness(), READINESS_POLL_INTERVAL_MS);
  return {
    pick: (index) =>
      readyOrigins[index % Math.max(1, readyOrigins.length)] ?? entries[0]?.origin ?? '',
    stop: () => clearInterval(timer),
  };
}

/**
 * Checks whether a request with an idempotency key and an unknown outcome ran: by a lookup, as its caller would, and in
 * the statistics of the plain servers.
 */
async function checkKeyedRun(
  pick: (index: number) => string,
  key: string,
  id: string,
  plainServers: readonly string[],
): Promise<boolean> {
  const response = await fetch(`${pick(0)}/certificates/${id}`, {
    headers: { authorization: `Bearer ${key}` },
  });
  if (!response.ok) return false;
  const stats = await Promise.all(
    plainServers.map(
      async (origin) =>
        (await (await fetch(`${origin}/control/stats`)).json()) as { runs: Record<string, number> },
    ),
  );
  return stats.some(({ runs }) => (runs[id] ?? 0) > 0);
}

/** Sends a request and retries it, as callers do, until the response is complete, the key is withdrawn or no attempt is left. */
export async function sendWithRetries(
  entry: TraceEntry,
  id: string,
  key: string,
  balancer: { pick: (index: number) => string },
  plainServers: readonly string[],
  dispatcher: Agent,
): Promise<RequestHistory> {
  const history: RequestHistory = { id, entry, isWhole: false, attempts: [] };
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    const requestId = `${id}.${attempt}`;
    const startedAt = performance.now();
    const origin = balancer.pick(entry.host + attempt);
    const result: TraceResult = await sendEntry(entry, {
      origin,
      key,
      id,
      requestId,
      dispatcher,
      elapsedMs: () => performance.now() - startedAt,
    });
    history.attempts.push({ requestId, status: result.status, outcome: result.outcome });
    if (result.isWhole) return { ...history, isWhole: true };
    if (result.status === 401) return history;
    if (result.status === 409 && entry.kind === LoadKind.keyed && attempt > 20)
      return { ...history, isWhole: await checkKeyedRun(balancer.pick, key, id, plainServers) };
    await wait(RETRY_DELAY_MS);
  }
  return history;
}
