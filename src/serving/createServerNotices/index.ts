import type { Clock } from '../../ports/clock.js';
import type { Log } from '../../ports/log.js';
import type { BackendServer } from '../../ports/serving.js';
import { createColdStates } from './_lib/createColdStates.js';
import { createRequestLimits } from './_lib/createRequestLimits.js';
import type { ServerNotices } from './types.js';

export type * from './types.js';

// Far more than the servers of a fleet that start again within the life of a process.
const MAX_LEAVING_SERVERS = 10_000;

/** Creates the collection of what servers say of themselves, without any notice yet. */
export function createServerNotices(options: {
  clock: Clock;
  log: Log;
  random?: () => number;
}): ServerNotices {
  const { clock, log, random = Math.random } = options;
  const leaving = new Set<string>();
  /** Until when servers want no requests of this host. */
  const pausedUntilMs = new Map<string, number>();
  const limits = createRequestLimits(clock);
  const cold = createColdStates({ clock, log, random });
  let unregistered: string[] = [];
  let handleChange = (): void => undefined;

  const addLeaving = (incarnation: string): boolean => {
    if (leaving.has(incarnation)) return false;
    leaving.add(incarnation);
    const [oldest] = leaving;
    if (leaving.size > MAX_LEAVING_SERVERS && oldest !== undefined) leaving.delete(oldest);
    return true;
  };

  const computePauseMs = (incarnation: string): number =>
    Math.max(0, (pausedUntilMs.get(incarnation) ?? 0) - clock.monotonicMs());

  /** Extends the pause of a server; returns whether it had none. */
  const addPause = (incarnation: string, pauseMs: number): boolean => {
    const remainingMs = computePauseMs(incarnation);
    pausedUntilMs.set(incarnation, clock.monotonicMs() + Math.max(remainingMs, pauseMs));
    return remainingMs === 0;
  };

  const dropEndedPauses = (): void => {
    for (const incarnation of pausedUntilMs.keys())
      if (computePauseMs(incarnation) === 0) pausedUntilMs.delete(incarnation);
  };

  const applyColdTime = (server: BackendServer): BackendServer => {
    cold.recordRegistration(server);
    const warmAtMs = cold.getWarmAtMs(server.incarnation);
    return warmAtMs > clock.monotonicMs() ? { ...server, warmAtMs } : server;
  };

  const applyToServer = (server: BackendServer): BackendServer => {
    if (server.isLeaving) addLeaving(server.incarnation);
    else if (leaving.has(server.incarnation)) {
      unregistered.push(server.incarnation);
      return { ...server, isLeaving: true };
    }
    return server;
  };

  return {
    record: ({ id, incarnation }, notice, { requestId, sentAtMs }) => {
      const { isLeaving, pauseMs, requestsPerSecond, coldMs } = notice;
      if (coldMs !== undefined) {
        const receivedAtMs = clock.monotonicMs();
        const told = { warmAtMs: receivedAtMs + coldMs, sentAtMs, receivedAtMs };
        if (cold.recordTold(incarnation, told)) handleChange();
      }
      if (requestsPerSecond !== undefined) {
        const before = limits.get(incarnation);
        const receivedAtMs = clock.monotonicMs();
        const limit = { perSecond: requestsPerSecond, sentAtMs, receivedAtMs };
        if (limits.record(incarnation, limit))
          log.info(
            { server: id, incarnation, requestId, requestsPerSecond, before },
            'server limits its requests',
          );
      }
      if (pauseMs > 0 && addPause(incarnation, pauseMs))
        log.info(
          { server: id, incarnation, requestId, pauseMs },
          'server wants no requests for a while',
        );
      if (!isLeaving || !addLeaving(incarnation)) return;
      log.info({ server: id, incarnation, requestId }, 'server says that it is leaving');
      handleChange();
    },
    getPauseMs: computePauseMs,
    setConfiguration: cold.setConfiguration,
    setContact: cold.setContact,
    recordDisconnection: cold.recordDisconnection,
    recordRevocations: cold.recordRevocations,
    getRequestLimit: (incarnation, inMs) =>
      Math.min(limits.get(incarnation), cold.getLimit(incarnation, inMs)),
    recordLimits: limits.merge,
    getLimits: limits.getAll,
    takeChangedLimits: limits.takeChanged,
    resetTaken: () => {
      limits.resetTaken();
      cold.resetTaken();
    },
    isCold: (incarnation) => cold.getLimit(incarnation) < Infinity,
    getColdMs: cold.getColdMs,
    getShiftedColdMs: cold.getShiftedColdMs,
    getColdAgeMs: cold.getAgeMs,
    countCold: cold.countCold,
    recordColdTimes: (times) => {
      const changes = [...times].map(([incarnation, told]) => cold.recordTold(incarnation, told));
      if (changes.includes(true)) handleChange();
    },
    takeChangedColdTimes: cold.takeChanged,
    recordLeaving: (incarnations) => {
      const added = incarnations.filter(addLeaving);
      if (added.length === 0) return;
      log.info({ incarnations: added }, 'servers say to another host that they are leaving');
      handleChange();
    },
    applyTo: (servers) => {
      unregistered = [];
      dropEndedPauses();
      const registered = new Set([...servers.values()].map(({ incarnation }) => incarnation));
      limits.dropObsolete(registered);
      cold.dropObsolete(registered);
      return new Map(
        [...servers].map(([id, server]) => [id, applyToServer(applyColdTime(server))]),
      );
    },
    listUnregistered: () => unregistered,
    onChange: (listener) => {
      handleChange = listener;
    },
  };
}
