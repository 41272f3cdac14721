import { setTimeout as wait } from 'node:timers/promises';

const CHECK_MS = 20;

/** Waits until a condition holds; rejects after the bound with what was waited for. */
export async function waitUntil(
  what: string,
  holds: () => boolean | Promise<boolean>,
  boundMs = 30_000,
): Promise<void> {
  const startedAt = performance.now();
  while (!(await holds())) {
    if (performance.now() - startedAt > boundMs) throw new Error(`still waiting: ${what}`);
    await wait(CHECK_MS);
  }
}
