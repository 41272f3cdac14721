import { setTimeout as wait } from 'node:timers/promises';
import { Agent } from 'undici';
import { sendEntry } from '#dist/load/runTrace/sendEntry.js';
import { LoadKind, type TraceEntry, type TraceResult } from '#dist/load/types.js';
import type { DemoEntry } from './startDemoFleet.js';

/** What a caller of the demo went through with one request. */
export interface RequestHistory {
  id: string;
  entry: TraceEntry;
  isWhole: boolean;
  /** Every attempt with its own id and what it was told. */
  attempts: { requestId: string; status: number; outcome: string }[];
}

const BALANCER_MS = 100;
const REPEAT_MS = 100;
const MOST_ATTEMPTS = 60;

/** Keeps the list of ready entry hosts, as the platform's balancer does. */
export function startLoadBalancer(entries: readonly DemoEntry[]): {
  pick: (wish: number) => string;
  stop: () => void;
} {
  let ready = entries.map(({ origin }) => origin);
  const check = async (): Promise<void> => {
    const checks = entries.map(({ origin }) =>
      fetch(`${origin}/readyz`, { signal: AbortSignal.timeout(1000) }).then(
        (reply) => reply.ok,
        () => false,
      ),
    );
    const results = await Promise.all(checks);
    ready = entries.filter((_entry, index) => results[index]).map(({ origin }) => origin);
  };
  const timer = setInterval(() => void check(), BALANCER_MS);
  return {
    pick: (wish) => ready[wish % Math.max(1, ready.length)] ?? entries[0]?.origin ?? '',
    stop: () => clearInterval(timer),
  };
}

/** A keyed request whose end nobody knows is looked up, as its caller would. */
async function checkKeyed(
  pick: (wish: number) => string,
  key: string,
  id: string,
  plainServers: readonly string[],
): Promise<boolean> {
  const reply = await fetch(`${pick(0)}/certificates/${id}`, {
    headers: { authorization: `Bearer ${key}` },
  });
  if (!reply.ok) return false;
  const stats = await Promise.all(
    plainServers.map(
      async (origin) =>
        (await (await fetch(`${origin}/control/stats`)).json()) as { runs: Record<string, number> },
    ),
  );
  return stats.some(({ runs }) => (runs[id] ?? 0) > 0);
}

/** Sends a request and repeats it, as callers do, until it is whole or its key no longer counts. */
export async function sendWithRetries(
  entry: TraceEntry,
  id: string,
  key: string,
  balancer: { pick: (wish: number) => string },
  plainServers: readonly string[],
  dispatcher: Agent,
): Promise<RequestHistory> {
  const story: RequestHistory = { id, entry, isWhole: false, attempts: [] };
  for (let attempt = 0; attempt < MOST_ATTEMPTS; attempt += 1) {
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
    story.attempts.push({ requestId, status: result.status, outcome: result.outcome });
    if (result.isWhole) return { ...story, isWhole: true };
    if (result.status === 401) return story;
    if (result.status === 409 && entry.kind === LoadKind.keyed && attempt > 20)
      return { ...story, isWhole: await checkKeyed(balancer.pick, key, id, plainServers) };
    await wait(REPEAT_MS);
  }
  return story;
}
