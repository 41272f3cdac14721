import { request as sendRequest } from 'undici';
import { pickFreePort } from './pickFreePort.js';
import type { PlatformStore } from './platformStore.js';
import { startProcess, type RunningProcess } from './processes.js';
import { waitUntil } from './waitUntil.js';

const CHANGE_DELAY_MS = 4000; // as in most deployments

/** A host that runs in a process of its own, so that signals can pause or end it. */
export interface HostProcess {
  process: RunningProcess;
  callerPort: number;
}

/** Starts a host on free ports; `flags` go before the defaults. Settles when it is ready. */
export async function startHostProcess(
  store: PlatformStore,
  name: string,
  flags: Readonly<Record<string, string | number>> = {},
): Promise<HostProcess> {
  const [callerPort, readyPort, peerPort, metricsPort] = await Promise.all(
    Array.from({ length: 4 }, pickFreePort),
  );
  const allFlags = {
    host: name,
    'data-centre': 'a',
    callers: `127.0.0.1:${callerPort}`,
    ready: `127.0.0.1:${readyPort}`,
    store: `127.0.0.1:${store.endpoint.port}`,
    'peer-port': peerPort,
    'metrics-port': metricsPort,
    'configuration-delay-ms': CHANGE_DELAY_MS,
    'draining-delay-ms': CHANGE_DELAY_MS,
    ...flags,
  };
  const process = startProcess(
    name,
    '../dist-tools/platform/main.js',
    Object.entries(allFlags).map(([flag, value]) => `--${flag}=${value}`),
  );
  await waitUntil(`${name} is ready`, async () => {
    try {
      const response = await sendRequest(`http://127.0.0.1:${readyPort}/api/ready`);
      await response.body.dump();
      return response.statusCode === 200;
    } catch {
      return false;
    }
  });
  return { process, callerPort: callerPort ?? 0 };
}
