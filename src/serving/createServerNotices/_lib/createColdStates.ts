import { computeColdLimit } from '../../../decisions/limits/computeColdLimit/index.js';
import { mergeRegisteredColdTime } from '../../../decisions/limits/mergeRegisteredColdTime/index.js';
import { mergeToldColdTime } from '../../../decisions/limits/mergeToldColdTime/index.js';
import type { RegisteredColdTime, ToldColdTime } from '../../../decisions/limits/types.js';
import { MAX_SHIFT_MS } from '../../../decisions/serving/computeColdDelayMs/index.js';
import type { Clock } from '../../../ports/clock.js';
import type { Log } from '../../../ports/log.js';
import type { BackendServer, ServingConfiguration } from '../../../ports/serving.js';

/** How this host learns of registrations. */
export interface HostContact {
  /** Age of its list of servers. */
  getListAgeMs: () => number;
  /** Whether a leader sends views to it. */
  isLed: () => boolean;
}

/** Cold times of servers, by incarnation. */
export interface ColdStates {
  setConfiguration: (configuration: ServingConfiguration) => void;
  /** Sets the age of the list of servers, and whether a leader sends views to this host. */
  setContact: (contact: HostContact) => void;
  /** Records that the server broke or refused a connection, as one that starts again does. */
  recordDisconnection: (incarnation: string) => void;
  /** Records that evacuations of data centres were revoked, whose servers may all be cold. */
  recordRevocations: (dataCentres: readonly string[]) => void;
  /** Records a registration; the same object is recorded once. */
  recordRegistration: (server: BackendServer) => void;
  /** Records what a response told, here or at another host; returns whether the end has changed. */
  recordTold: (incarnation: string, told: ToldColdTime) => boolean;
  /** When the server is warm in monotonic milliseconds; -Infinity if it was never cold. */
  getWarmAtMs: (incarnation: string) => number;
  /** Milliseconds for which the server is cold; 0 also for a service without cold starts. */
  getColdMs: (incarnation: string) => number;
  /** The same with the random part by which this host returns to the server later than others. */
  getShiftedColdMs: (incarnation: string) => number;
  /** Milliseconds since the news arrived that decided the cold time. */
  getAgeMs: (incarnation: string) => number;
  /** Requests per second that the server takes if it is cold in `inMs`; Infinity without such a limit. */
  getLimit: (incarnation: string, inMs?: number) => number;
  countCold: () => number;
  takeChanged: () => Map<string, ToldColdTime>;
  resetTaken: () => void;
  /** Drops the cold times of servers that are gone, some time after these. */
  dropObsolete: (registered: ReadonlySet<string>) => void;
}

interface ColdState {
  server?: Pick<BackendServer, 'id' | 'service' | 'dataCentre'>;
  registered?: RegisteredColdTime;
  told?: ToldColdTime;
  shiftMs: number;
  disconnectedAtMs?: number;
  revokedAtMs?: number;
}

const MAX_STATES = 10_000; // far more than the servers of a fleet
const RETENTION_MS = 5000; // a server whose registration lapsed is back by then
/** Differences of the same end that result from the ways of its messages. */
const SAME_END_MS = 200;

/** Hosts in contact with a leader or the store have newer lists; see `computeFreshnessLimits`. */
const MAX_LIST_AGE_MS = 3000;
/** From a start until the registration that tells of it is in the store. */
const REGISTRATION_MS = 1000;
/** From the revocation of an evacuation until each server has renewed its registration since. */
const RENEWAL_MS = 2000;

const readWarmAtMs = ({ registered, told }: ColdState): number =>
  Math.max(registered?.warmAtMs ?? -Infinity, told?.warmAtMs ?? -Infinity);

/** Creates the cold times of servers, without any. */
export function createColdStates(options: {
  clock: Clock;
  log: Log;
  random: () => number;
}): ColdStates {
  const { clock, log, random } = options;
  const states = new Map<string, ColdState>();
  const seen = new WeakSet<BackendServer>();
  const changed = new Set<string>();
  let configuration: ServingConfiguration | undefined;
  let contact: HostContact = { getListAgeMs: () => 0, isLed: () => true };

  const findService = (state: ColdState | undefined) =>
    state?.server && configuration?.services.get(state.server.service);
  const readLimit = (state: ColdState | undefined): number =>
    findService(state)?.coldRequestsPerSecond ?? 0;
  const hasColdStarts = (state: ColdState): boolean =>
    (findService(state)?.coldStartMs ?? 0) > 0 || readLimit(state) > 0;

  const computeColdMs = (state: ColdState | undefined, shiftMs = 0): number =>
    state === undefined || !hasColdStarts(state)
      ? 0
      : Math.max(0, readWarmAtMs(state) + shiftMs - clock.monotonicMs());

  /** Whether the server may be cold although this host's list, for its age, cannot tell. */
  const isSuspected = (state: ColdState | undefined): boolean => {
    if (readLimit(state) === 0) return false;
    const listAgeMs = contact.getListAgeMs();
    if (listAgeMs > MAX_LIST_AGE_MS && !contact.isLed()) return true;
    const completeAsOfMs = clock.monotonicMs() - listAgeMs;
    // With the random part, or all hosts would turn to the idle servers at one moment.
    const revokedAtMs = (state?.revokedAtMs ?? -Infinity) + (state?.shiftMs ?? 0);
    if (completeAsOfMs < revokedAtMs + RENEWAL_MS) return true;
    if (state?.disconnectedAtMs === undefined) return false;
    // Another process may have started in its place.
    const sinceMs = clock.monotonicMs() - state.disconnectedAtMs;
    const coldStartMs = findService(state)?.coldStartMs ?? 0;
    return sinceMs < coldStartMs && sinceMs - listAgeMs < REGISTRATION_MS;
  };

  const getState = (incarnation: string): ColdState => {
    const known = states.get(incarnation);
    if (known !== undefined) return known;
    const created = { shiftMs: MAX_SHIFT_MS * random() };
    states.set(incarnation, created);
    const [oldest] = states.keys();
    if (states.size > MAX_STATES && oldest !== undefined) states.delete(oldest);
    return created;
  };

  const logIfTurnedCold = (incarnation: string, state: ColdState, beforeMs: number): void => {
    const coldMs = computeColdMs(state);
    if (beforeMs > 0 || coldMs === 0) return;
    const source = state.told?.warmAtMs === readWarmAtMs(state) ? 'response' : 'registration';
    log.info(
      {
        server: state.server?.id,
        incarnation,
        source,
        coldMs: Math.round(coldMs),
        coldRequestsPerSecond: readLimit(state),
      },
      'server is cold',
    );
  };

  return {
    setConfiguration: (next) => {
      configuration = next;
    },
    setContact: (next) => {
      contact = next;
    },
    recordDisconnection: (incarnation) => {
      const state = states.get(incarnation);
      if (state !== undefined) state.disconnectedAtMs = clock.monotonicMs();
    },
    recordRevocations: (dataCentres) => {
      for (const state of states.values())
        if (state.server !== undefined && dataCentres.includes(state.server.dataCentre))
          state.revokedAtMs = clock.monotonicMs();
    },
    recordRegistration: (server) => {
      if (seen.has(server)) return;
      seen.add(server);
      const { incarnation, coldRemainingMs: statedMs, renewals = 0 } = server;
      const state = getState(incarnation);
      const beforeMs = computeColdMs(state);
      state.server = server;
      // A leader of an older version passes registrations on without the time.
      if (statedMs === undefined) return;
      const receivedAtMs = clock.monotonicMs();
      const next = { warmAtMs: receivedAtMs + statedMs, statedMs, renewals, receivedAtMs };
      state.registered = mergeRegisteredColdTime(state.registered, next);
      logIfTurnedCold(incarnation, state, beforeMs);
    },
    recordTold: (incarnation, told) => {
      const known = states.get(incarnation);
      if (known?.told === undefined && told.warmAtMs <= told.receivedAtMs) return false;
      const state = getState(incarnation);
      const beforeMs = computeColdMs(state);
      const beforeAtMs = state.told?.warmAtMs ?? -Infinity;
      const merged = mergeToldColdTime(state.told, told);
      if (Math.abs(merged.warmAtMs - beforeAtMs) <= SAME_END_MS) return false;
      state.told = merged;
      changed.add(incarnation);
      logIfTurnedCold(incarnation, state, beforeMs);
      return true;
    },
    getWarmAtMs: (incarnation) => {
      const state = states.get(incarnation);
      return state === undefined ? -Infinity : readWarmAtMs(state);
    },
    getColdMs: (incarnation) => computeColdMs(states.get(incarnation)),
    getShiftedColdMs: (incarnation) => {
      const state = states.get(incarnation);
      return computeColdMs(state, state?.shiftMs);
    },
    getAgeMs: (incarnation) => {
      const { registered, told } = states.get(incarnation) ?? {};
      const isTold = (told?.warmAtMs ?? -Infinity) > (registered?.warmAtMs ?? -Infinity);
      return clock.monotonicMs() - ((isTold ? told : registered)?.receivedAtMs ?? -Infinity);
    },
    getLimit: (incarnation, inMs = 0) => {
      const state = states.get(incarnation);
      const mayBeCold = inMs === 0 && isSuspected(state);
      const coldMs = mayBeCold ? Infinity : computeColdMs(state) - inMs;
      return computeColdLimit({ coldMs, perSecond: readLimit(state) });
    },
    countCold: () => [...states.values()].filter((state) => computeColdMs(state) > 0).length,
    takeChanged: () => {
      const taken = new Map<string, ToldColdTime>();
      for (const incarnation of changed) {
        const told = states.get(incarnation)?.told;
        if (told !== undefined) taken.set(incarnation, told);
      }
      changed.clear();
      return taken;
    },
    resetTaken: () => {
      for (const [incarnation, { told }] of states)
        if (told !== undefined && told.warmAtMs > clock.monotonicMs()) changed.add(incarnation);
    },
    dropObsolete: (registered) => {
      const expiryMs = clock.monotonicMs() - RETENTION_MS;
      for (const [incarnation, state] of states) {
        const { receivedAtMs = -Infinity } = state.registered ?? state.told ?? {};
        const isOver = Math.max(receivedAtMs, readWarmAtMs(state)) < expiryMs;
        if (isOver && !registered.has(incarnation)) states.delete(incarnation);
      }
    },
  };
}
