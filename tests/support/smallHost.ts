import { readdir, readFile } from 'node:fs/promises';
import { setTimeout as wait } from 'node:timers/promises';
import type { Test } from 'tap';
import { Agent, request as sendRequest } from 'undici';
import { pickFreePort } from './pickFreePort.js';
import { startPlatformEngine } from './platformEngine.js';
import { buildConfiguration, sendToPort } from './platformFleet.js';
import { startPlatformStore } from './platformStore.js';
import { startProcess } from './processes.js';
import { waitUntil } from './waitUntil.js';

// The smallest hosts of the deployments; the flags are those of the deployment file.
/** Memory of the smallest host. */
export const MAX_RESIDENT_BYTES = 210_000_000;
/** Descriptors of the smallest host. */
export const MAX_DESCRIPTORS = 2212;
/** Flags of Node.js on the smallest host. */
export const SMALL_HOST_FLAGS = '--max-old-space-size=160 --max-semi-space-size=2';
const SAMPLE_INTERVAL_MS = 100;
const ANSWER_TIMEOUT_MS = 5000;

/** Starts a store, a server (or takes the one on the given port) and a host as a process with the flags of the smallest hosts. */
export async function startHostProcess(t: Test, serverPort?: number) {
  const store = await startPlatformStore();
  t.teardown(store.close);
  store.put('op/config', buildConfiguration(1));
  const place = serverPort === undefined ? {} : { address: `127.0.0.1:${serverPort}` };
  const models = { oak: [] };
  for (const options of [{ service: 'certs' }, { service: 'llm', models }]) {
    if (options.service === 'llm' && serverPort === undefined) continue;
    const id = `${options.service}-1`;
    const server = await startPlatformEngine({ id, ...options });
    t.teardown(server.close);
    store.put(`servers/${id}`, server.buildRegistration(place));
  }
  const callerPort = await pickFreePort();
  const readyPort = await pickFreePort();
  const host = startProcess(
    'host-1',
    '../dist-tools/platform/main.js',
    [
      '--host=host-1',
      '--data-centre=a',
      `--callers=127.0.0.1:${callerPort}`,
      `--ready=127.0.0.1:${readyPort}`,
      `--store=127.0.0.1:${store.endpoint.port}`,
      `--peer-port=${await pickFreePort()}`,
      `--metrics-port=${await pickFreePort()}`,
      '--first-start=true',
    ],
    { NODE_OPTIONS: SMALL_HOST_FLAGS },
  );
  t.teardown(async () => {
    host.kill('SIGKILL');
    await host.exited;
  });
  const isReady = async (): Promise<boolean> => {
    const response = await sendRequest(`http://127.0.0.1:${readyPort}/api/ready`).catch(
      () => undefined,
    );
    await response?.body.dump();
    return response?.statusCode === 200;
  };
  await waitUntil('the host is ready', isReady);
  return { host, callerPort };
}

/** Samples the open descriptors of a process; its peak of resident memory is kept by the system. */
export function startSampling(pid: number) {
  const peak = { descriptors: 0, residentBytes: 0 };
  let isStopped = false;
  const sample = async (): Promise<void> => {
    while (!isStopped) {
      const descriptors = await readdir(`/proc/${pid}/fd`).catch(() => []);
      const status = await readFile(`/proc/${pid}/status`, 'utf8').catch(() => '');
      const kibibytes = Number(/VmHWM:\s+(\d+) kB/.exec(status)?.[1] ?? 0);
      peak.descriptors = Math.max(peak.descriptors, descriptors.length);
      peak.residentBytes = Math.max(peak.residentBytes, kibibytes * 1024);
      await wait(SAMPLE_INTERVAL_MS);
    }
  };
  const done = sample();
  return async () => {
    isStopped = true;
    await done;
    return peak;
  };
}

/** Sends an ordinary request on a new connection; undefined without an answer. */
export async function askOnce(port: number): Promise<number | undefined> {
  const agent = new Agent({ headersTimeout: ANSWER_TIMEOUT_MS, connectTimeout: ANSWER_TIMEOUT_MS });
  try {
    const response = await sendToPort(port, '/lookup/1', { agent, body: 'b'.repeat(1000) });
    return response.status;
  } catch {
    return undefined;
  } finally {
    await agent.destroy();
  }
}

/** Whether a wait ended before its timeout. */
export const isMet = (promise: Promise<void>): Promise<boolean> =>
  promise.then(
    () => true,
    () => false,
  );
