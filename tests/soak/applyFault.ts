import { setTimeout as wait } from 'node:timers/promises';
import { EngineFate } from '../support/platformEngine.js';
import { StoreMood } from '../support/platformStore.js';
import { buildSoakConfiguration } from './buildSoakConfiguration.js';
import { ProxyMode, type Proxy } from './startProxy.js';
import type { SoakEngine, SoakFleet, SoakHost } from './startSoakFleet.js';
import { FaultKind, type Fault, type SoakRecord } from './types.js';

const RESTART_MS = 500; // the platform starts an ended process again after a short delay
const GRACE_MS = 8000; // between SIGTERM and SIGKILL, as the sites have it
const LEAVE_MS = 2000; // an engine that leaves serves on for so long
const FATE_SHARE = 3; // one request in so many meets the fate

/** Runs what ends and starts a host's process after what does so already. */
function runInTurn(host: SoakHost, task: () => Promise<void>): Promise<void> {
  host.lastTransition = host.lastTransition.then(task);
  return host.lastTransition;
}

async function startAgain(host: SoakHost): Promise<void> {
  await host.process?.exited;
  await wait(RESTART_MS);
  host.start();
}

async function finishNow(host: SoakHost): Promise<void> {
  host.process?.kill('SIGCONT');
  host.process?.kill('SIGKILL');
  await startAgain(host);
}

async function finishPlanned(host: SoakHost, record: SoakRecord): Promise<void> {
  const { process, incarnation, name } = host;
  if (process === undefined) return;
  const planned = { host: name, incarnation, fromMs: performance.now(), toMs: Infinity };
  record.stops.push(planned);
  process.kill('SIGTERM');
  const end = await Promise.race([process.exited, wait(GRACE_MS, undefined)]);
  if (end === undefined) process.kill('SIGKILL');
  await process.exited;
  planned.toMs = performance.now();
  await startAgain(host);
}

async function applyMood(proxy: Proxy, how: string, forMs: number): Promise<void> {
  proxy.setMode(how as ProxyMode);
  await wait(forMs);
  proxy.setMode(ProxyMode.pass);
}

async function startEngineAgain(
  fleet: SoakFleet,
  record: SoakRecord,
  { engine, buildRegistration }: SoakEngine,
): Promise<void> {
  engine.restart();
  if (engine.id === 'engine-0') engine.models.set('oak', new Set());
  if (engine.id === 'engine-1') engine.models.set('pine', new Set());
  await wait(RESTART_MS);
  const isLeaving = record.departures.some(
    ({ engine: id, toMs }) => id === engine.id && toMs === Infinity,
  );
  fleet.store.put(
    `servers/${engine.id}`,
    buildRegistration(isLeaving ? { state: 'draining' } : {}),
  );
}

async function leaveEngine(
  fleet: SoakFleet,
  record: SoakRecord,
  { engine, buildRegistration }: SoakEngine,
  forMs: number,
): Promise<void> {
  const departure = { engine: engine.id, fromMs: performance.now(), toMs: Infinity };
  record.departures.push(departure);
  fleet.store.put(`servers/${engine.id}`, buildRegistration({ state: 'draining' }));
  await wait(LEAVE_MS + forMs);
  departure.toMs = performance.now();
  engine.restart();
  engine.models.set('oak', new Set());
  fleet.store.put(`servers/${engine.id}`, buildRegistration());
}

async function setFates(engine: SoakEngine['engine'], fate: EngineFate, forMs: number) {
  let seen = 0;
  engine.setFate(() => {
    seen += 1;
    return seen % FATE_SHARE === 0 ? fate : EngineFate.serve;
  });
  await wait(forMs);
  engine.setFate(() => EngineFate.serve);
}

/** Puts the next version in force. */
function writeConfiguration(fleet: SoakFleet, record: SoakRecord): void {
  const version = (record.versions.at(-1)?.version ?? 0) + 1;
  fleet.store.put('op/config', buildSoakConfiguration(version));
  record.versions.push({ version, atMs: performance.now() });
}

/** Carries out one fault; settles when it is over. Signals reach only processes that the soak started. */
export async function applyFault(
  fleet: SoakFleet,
  record: SoakRecord,
  fault: Fault,
): Promise<void> {
  const { kind, forMs, how } = fault;
  const host = fleet.hosts[fault.target % fleet.hosts.length];
  const target = fleet.engines[fault.target % fleet.engines.length];
  if (host === undefined || target === undefined) return;
  const { process } = host;
  switch (kind) {
    case FaultKind.kill:
      return runInTurn(host, () => finishNow(host));
    case FaultKind.killAll:
      await Promise.all(fleet.hosts.map((one) => runInTurn(one, () => finishNow(one))));
      return;
    case FaultKind.stop:
      return runInTurn(host, () => finishPlanned(host, record));
    case FaultKind.pause:
      process?.kill('SIGSTOP');
      await wait(forMs);
      process?.kill('SIGCONT');
      return;
    case FaultKind.reload:
      process?.kill('SIGHUP');
      return;
    case FaultKind.clock: {
      const signal = how === 'ahead' ? 'SIGUSR2' : 'SIGWINCH';
      process?.kill(signal);
      await wait(forMs);
      process?.kill(signal);
      return;
    }
    case FaultKind.storeLink:
      return applyMood(host.storeProxy, how, forMs);
    case FaultKind.peerLink:
      return applyMood(host.peerProxy, how, forMs);
    case FaultKind.engineLink:
      return applyMood(target.proxy, how, forMs);
    case FaultKind.store:
      fleet.store.setMood(how as StoreMood);
      await wait(forMs);
      fleet.store.setMood(StoreMood.sound);
      return;
    case FaultKind.compact:
      fleet.store.compact();
      return;
    case FaultKind.engineRestart:
      return startEngineAgain(fleet, record, target);
    case FaultKind.engineDrain:
      return leaveEngine(fleet, record, target, forMs);
    case FaultKind.engineFailure:
      return setFates(target.engine, how as EngineFate, forMs);
    case FaultKind.lateOrders:
      target.engine.setLateOrders(true);
      await wait(forMs);
      target.engine.setLateOrders(false);
      return;
    case FaultKind.configuration:
      writeConfiguration(fleet, record);
      return;
  }
}
