import { setTimeout as wait } from 'node:timers/promises';
import { formatError } from '../../../errors/index.js';
import type { HostList, ListedHost } from '../../../ports/hostList.js';
import type { Log } from '../../../ports/log.js';

/** What following the host list needs. */
export interface PollHostListOptions {
  hostList: HostList;
  pollMs: number;
  log: Log;
  onHosts: (hosts: readonly ListedHost[]) => void;
  signal: AbortSignal;
}

/** Reads the host list again and again until the signal aborts; a failed read leaves the last one standing. */
export async function pollHostList(options: PollHostListOptions): Promise<void> {
  const { hostList, pollMs, log, onHosts, signal } = options;
  let isBroken = false;
  while (!signal.aborted) {
    try {
      onHosts(await hostList.read());
      isBroken = false;
    } catch (error) {
      if (!isBroken) log.warn({ error: formatError(error) }, 'host list could not be read');
      isBroken = true;
    }
    await wait(pollMs, undefined, { signal }).catch(() => undefined);
  }
}
