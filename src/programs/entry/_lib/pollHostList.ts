import { setTimeout as wait } from 'node:timers/promises';
import { formatError } from '../../../errors/index.js';
import type { HostList, ListedHost } from '../../../ports/hostList.js';
import type { Log } from '../../../ports/log.js';

/** Dependencies and options of polling the host list. */
export interface PollHostListOptions {
  hostList: HostList;
  pollMs: number;
  log: Log;
  onHosts: (hosts: readonly ListedHost[]) => void;
  signal: AbortSignal;
}

/** Polls the host list until the signal aborts; after a failed read the last list stays in use. */
export async function pollHostList(options: PollHostListOptions): Promise<void> {
  const { hostList, pollMs, log, onHosts, signal } = options;
  let hasFailed = false;
  while (!signal.aborted) {
    try {
      onHosts(await hostList.read());
      hasFailed = false;
    } catch (error) {
      if (!hasFailed)
        log.warn({ error: formatError(error) }, 'host list read failed; keeping the last list');
      hasFailed = true;
    }
    await wait(pollMs, undefined, { signal }).catch(() => undefined);
  }
}
