import { setTimeout as wait } from 'node:timers/promises';
import { Agent, request as sendRequest } from 'undici';
import type { LoadOptions } from '#dist/serving/loadOptions.js';
import { startPlatformHost, type PlatformHost } from '../../platform/startPlatformHost.js';
import {
  startPlatformEngine,
  type PlatformEngine,
  type PlatformEngineOptions,
} from './platformEngine.js';
import { startPlatformStore, type PlatformStore } from './platformStore.js';
import { waitUntil } from './waitUntil.js';

/** API key of the only organisation in the default configuration. */
export const API_KEY = 'key-of-depots';

/** Longest body of a plain response in the tests. */
export const MAX_RESPONSE_BYTES = 1_000_000;

const ROUTES = {
  '/chat/': { route_type: 'stream', service: 'llm' },
  '/plan/': { route_type: 'stream', service: 'llm', resumable: true, max_attempts: 3 },
  '/certs/': { route_type: 'unsafe', service: 'certs' },
  '/lookup/': { route_type: 'safe', service: 'certs', max_attempts: 2 },
} as const;

/** Builds a configuration in the format that operators write. */
export function buildConfiguration(
  version: number,
  overrides: Record<string, unknown> = {},
): unknown {
  return {
    version,
    routes: Object.entries(ROUTES).map(([prefix, route]) => ({
      name: prefix,
      host: 'depots.example',
      prefix,
      timeout_ms: 3000,
      target_latency_ms: 400,
      priority: 1,
      max_attempts: 1,
      ...route,
    })),
    services: [
      {
        name: 'llm',
        max_connections: 100,
        engine: {
          slots: 8,
          kv_capacity: 200_000,
          weights_mb: 200_000,
          adapter_slots: 2,
          loads_per_s: 2,
          models: [
            { name: 'oak', weights_mb: 60_000, load_s: 0.1, adapters: 8, adapter_mb: 12 },
            { name: 'pine', weights_mb: 60_000, load_s: 0.1, adapters: 0, adapter_mb: 12 },
          ],
        },
      },
      { name: 'certs', max_connections: 100 },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 100_000,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000,
    },
    tenants: [
      {
        name: 'depots',
        api_keys: [API_KEY],
        plain_tokens: 10,
        rate_per_s: 10_000_000,
        burst: 10_000_000,
      },
    ],
    ...overrides,
  };
}

/** A fleet of hosts in this process with a stand-in store and stand-in servers. */
export interface PlatformFleet {
  store: PlatformStore;
  engines: PlatformEngine[];
  hosts: PlatformHost[];
  addEngine: (options: PlatformEngineOptions) => Promise<PlatformEngine>;
  close: () => Promise<void>;
}

/** Options of a request that a test sends to a host as a caller. */
export interface HostRequestOptions {
  id?: string;
  method?: string;
  headers?: Record<string, string>;
  body?: string;
  host?: PlatformHost;
  agent?: Agent;
}

/** A response as a caller received it; `isComplete` is false when it was truncated. */
export interface HostResponse {
  status: number;
  headers: Record<string, string | string[] | undefined>;
  body: string;
  isComplete: boolean;
}

let requestCount = 0;

/** Sends a request to a host and reads its response, also when it is truncated. */
export function sendToHost(
  host: PlatformHost,
  path: string,
  options: HostRequestOptions = {},
): Promise<HostResponse> {
  return sendToPort(host.callerPort, path, options);
}

/** Sends a request to a port on which a host listens for callers. */
export async function sendToPort(
  port: number,
  path: string,
  options: HostRequestOptions = {},
): Promise<HostResponse> {
  requestCount += 1;
  const { id = `r${requestCount}`, method = 'POST', headers = {}, body, agent } = options;
  const isStream = path.startsWith('/chat/') || path.startsWith('/plan/');
  const response = await sendRequest(`http://127.0.0.1:${port}${path}`, {
    method: method as 'POST',
    dispatcher: agent,
    headers: {
      host: 'depots.example',
      authorization: `Bearer ${API_KEY}`,
      'request-id': id,
      'deadline-ms': '3000',
      ...(isStream ? { accept: 'text/event-stream', model: 'oak', 'token-count': '100,20' } : {}),
      ...headers,
    },
    body,
  });
  let text = '';
  let isComplete = true;
  try {
    for await (const chunk of response.body as AsyncIterable<Buffer>) text += chunk.toString();
  } catch {
    isComplete = false;
  }
  return { status: response.statusCode, headers: response.headers, body: text, isComplete };
}

/** Sends requests to all hosts in turn, one every 5 ms, and resolves to the responses. */
export async function sendEvenly(
  { hosts }: Pick<PlatformFleet, 'hosts'>,
  count: number,
  path = '/lookup/1',
): Promise<HostResponse[]> {
  const responses: Promise<HostResponse>[] = [];
  for (let index = 0; index < count; index += 1) {
    const host = hosts[index % hosts.length];
    if (host !== undefined) responses.push(sendToHost(host, path));
    await wait(5);
  }
  return Promise.all(responses);
}

/** What changes only the order of servers is on, so that all tests of fleets cover it. */
const LOAD: LoadOptions = {
  paceWeight: 1,
  othersWeight: 1,
  backlogWeight: 1,
  maximumRefusedShare: 0,
  fairWeight: 0,
  concurrencyLateShare: 0,
  hostQueueLength: 0,
  hostQueueTargets: 1,
  cacheAging: 1,
  prefixReports: 256,
  knownWeight: 1,
  copyWeight: 2,
};

/** Options of the hosts in a test, and of their store. */
export interface TestHostOptions {
  /** Epoch that the store names at first; none by default. */
  storeEpoch?: number;
  /** Time within which a change in the store must be in force on all hosts; 2000 by default. */
  maximumStalenessMs?: number;
  /** Time within which an evacuation must be in force; no evacuations by default. */
  evacuationDelayMs?: number;
  /** Decisions for heavy load; by default without limits, queues and levels, which refuse requests. */
  load?: Partial<LoadOptions>;
}

/** Starts a host with a store; use `isHostReady` to wait until it serves requests. */
export function startHost(
  store: PlatformStore,
  name: string,
  options: TestHostOptions = {},
): Promise<PlatformHost> {
  const { maximumStalenessMs = 2000 } = options;
  const ephemeralEndpoint = { address: '127.0.0.1', port: 0 };
  return startPlatformHost({
    host: name,
    dataCentre: 'a',
    callers: ephemeralEndpoint,
    ready: ephemeralEndpoint,
    store: store.endpoint,
    storeTimeoutMs: 500,
    peerPort: 0,
    linkMbps: 1000,
    metricsPort: 0,
    retryRatio: 0.2,
    fixedRetries: 400,
    retryWindowSeconds: 10,
    handoverMs: 300,
    graceSeconds: 6,
    configurationDelayMs: maximumStalenessMs,
    drainingDelayMs: maximumStalenessMs,
    evacuationDelayMs: options.evacuationDelayMs,
    registrationIntervalMs: 500,
    firstStart: 'true',
    maximumResponseBytes: MAX_RESPONSE_BYTES,
    ...LOAD,
    ...options.load,
    logLinesPerSecond: 1,
    clientMemoryBytes: 0,
    maximumConnections: 0,
    maximumWaitingRequests: 16,
    bodyBytesPerSecond: 256,
    bodySpanMs: 5000,
    maximumDiscardedBytes: 262_144,
    maximumFragmentedBodies: 4,
  });
}

/** Tells whether a host's readiness check succeeds, so that the load balancer sends it traffic. */
export async function isHostReady(host: PlatformHost): Promise<boolean> {
  const response = await sendRequest(`http://127.0.0.1:${host.readyPort}/api/ready`);
  await response.body.dump();
  return response.statusCode === 200;
}

/** Starts a fleet and waits until all hosts are ready. */
export async function startPlatformFleet(
  hostCount: number,
  engines: readonly PlatformEngineOptions[],
  options: TestHostOptions = {},
): Promise<PlatformFleet> {
  const store = await startPlatformStore({ epoch: options.storeEpoch });
  store.put('op/config', buildConfiguration(1));
  const fleet: PlatformFleet = {
    store,
    engines: [],
    hosts: [],
    addEngine: async (options) => {
      const engine = await startPlatformEngine(options);
      fleet.engines.push(engine);
      store.put(`servers/${engine.id}`, engine.buildRegistration());
      return engine;
    },
    close: async () => {
      await Promise.all(fleet.hosts.map((host) => host.stop()));
      await Promise.all(fleet.engines.map((engine) => engine.close()));
      await store.close();
    },
  };
  for (const options of engines) await fleet.addEngine(options);
  for (let index = 1; index <= hostCount; index += 1)
    fleet.hosts.push(await startHost(store, `host-${index}`, options));
  for (const host of fleet.hosts) await waitUntil('a host is ready', () => isHostReady(host));
  return fleet;
}
