import { setTimeout as wait } from 'node:timers/promises';
import { Agent, request as sendRequest } from 'undici';
import { buildProbeKey, buildProbePath, SoakOrganisation } from './buildSoakConfiguration.js';
import { isHostReady, type SoakFleet, type SoakHost } from './startSoakFleet.js';
import type { SoakRecord, SoakRequest } from './types.js';

const KINDS: readonly { route: string; headers: Record<string, string> }[] = [
  { route: '/chat/', headers: { model: 'oak/a1', 'token-count': '600,40' } },
  { route: '/chat/', headers: { model: 'oak/a2', 'token-count': '600,40' } },
  { route: '/plan/', headers: { model: 'oak/a3', 'token-count': '600,40' } },
  { route: '/plan/', headers: { model: 'pine', 'token-count': '600,40' } },
  { route: '/certs/', headers: {} },
  { route: '/certs/', headers: {} },
  { route: '/lookup/', headers: {} },
];
const LONG_KIND = { route: '/lookup/', headers: { 'token-count': '9000,190' } };

const DEADLINE_MS = 3000;
const LEAVE_SHARE = 0.05; // of the requests lose their caller early
const LEAVE_MS = 120; // within the stream of a stand-in engine
const THINK_MS = 25;
const PROBE_MS = 150;
const READY_MS = 500; // the platform's balancer asks each second

/** Callers that send until they are stopped. */
export interface Callers {
  stop: () => Promise<void>;
}

/** Starts callers that use kept connections and go to hosts that say they are ready. */
export function startCallers(fleet: SoakFleet, record: SoakRecord, callers: number): Callers {
  let isStopped = false;
  let nextId = 0;
  let ready: SoakHost[] = [...fleet.hosts];

  const send = async (
    agent: Agent,
    host: SoakHost,
    kind: { route: string; headers: Record<string, string> },
    options: { key: string; organisation: string; version?: number; leaves?: boolean },
  ): Promise<SoakRequest> => {
    nextId += 1;
    const request: SoakRequest = {
      id: `s${nextId}`,
      route: kind.route,
      host: host.name,
      incarnation: host.incarnation,
      organisation: options.organisation,
      sentAtMs: performance.now(),
      endedAtMs: 0,
      status: 0,
      isWhole: false,
      hasSeal: false,
      body: '',
      version: options.version,
    };
    record.requests.push(request);
    const isStream = kind.route === '/chat/' || kind.route === '/plan/';
    const leaving = new AbortController();
    const timer = setTimeout(
      () => {
        request.leftAtMs = performance.now();
        leaving.abort();
      },
      options.leaves === true ? LEAVE_MS : DEADLINE_MS + 1000,
    );
    try {
      const answer = await sendRequest(`http://127.0.0.1:${host.callerPort}${kind.route}x`, {
        method: kind.route === '/certs/' || isStream ? 'POST' : 'GET',
        dispatcher: agent,
        signal: leaving.signal,
        headers: {
          host: 'depots.example',
          authorization: `Bearer ${options.key}`,
          'request-id': request.id,
          'deadline-ms': String(DEADLINE_MS),
          ...(isStream ? { accept: 'text/event-stream' } : {}),
          ...kind.headers,
        },
      });
      request.status = answer.statusCode;
      request.hasSeal = answer.headers['server-seal'] !== undefined;
      for await (const chunk of answer.body as AsyncIterable<Buffer>)
        request.body += chunk.toString();
      request.isWhole = true;
    } catch {
      // What the caller saw until then stands in the record.
    }
    clearTimeout(timer);
    request.endedAtMs = performance.now();
    return request;
  };

  const runCaller = async (index: number): Promise<void> => {
    const agent = new Agent({ connections: 1, pipelining: 1 });
    const isLimited = index % 4 === 0;
    const organisation = isLimited ? SoakOrganisation.limited : SoakOrganisation.depots;
    let host = ready[index % ready.length];
    for (let turn = index; !isStopped; turn += 1) {
      // A caller stays with its host until the connection ends or the host refuses.
      host ??= ready[turn % Math.max(1, ready.length)];
      if (host !== undefined) {
        const kind = isLimited ? LONG_KIND : (KINDS[turn % KINDS.length] ?? LONG_KIND);
        const leaves = (turn * 7919) % 100 < LEAVE_SHARE * 100;
        const sent = await send(agent, host, kind, {
          key: `key-${organisation}`,
          organisation,
          leaves,
        });
        if (sent.status === 0 || sent.status >= 500) host = undefined;
      }
      await wait(THINK_MS);
    }
    await agent.destroy();
  };

  /** Asks a host for the path of each of the last two versions. */
  const runProbes = async (host: SoakHost): Promise<void> => {
    const agent = new Agent({ connections: 1 });
    while (!isStopped) {
      for (const { version } of record.versions.slice(-2))
        await send(
          agent,
          host,
          { route: buildProbePath(version), headers: {} },
          { key: buildProbeKey(version), organisation: 'probes', version },
        );
      await wait(PROBE_MS);
    }
    await agent.destroy();
  };

  const watchReady = async (): Promise<void> => {
    while (!isStopped) {
      const states = await Promise.all(fleet.hosts.map(isHostReady));
      ready = fleet.hosts.filter((_, index) => states[index]);
      await wait(READY_MS);
    }
  };

  const tasks = [
    watchReady(),
    ...fleet.hosts.map(runProbes),
    ...Array.from({ length: callers }, (_, index) => runCaller(index)),
  ];
  return {
    stop: async () => {
      isStopped = true;
      await Promise.all(tasks);
    },
  };
}
