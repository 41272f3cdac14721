import { setTimeout as wait } from 'node:timers/promises';

const POLL_INTERVAL_MS = 20;

/** Polls until a condition is met; rejects after the timeout with its description. */
export async function waitUntil(
  description: string,
  isMet: () => boolean | Promise<boolean>,
  timeoutMs = 30_000,
): Promise<void> {
  const startedAt = performance.now();
  while (!(await isMet())) {
    if (performance.now() - startedAt > timeoutMs)
      throw new Error(`timed out waiting until: ${description}`);
    await wait(POLL_INTERVAL_MS);
  }
}
