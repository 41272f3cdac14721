import type { RequestClass } from '../../decisions/bundle/types.js';
import { chooseNextRequest } from '../../decisions/queue/chooseNextRequest/index.js';
import { recordServedTokens } from '../../decisions/queue/recordServedTokens/index.js';
import type { VirtualServiceTimes, WaitingRequest } from '../../decisions/queue/types.js';
import { chooseBackendServer } from '../../decisions/routing/chooseBackendServer/index.js';
import type { Candidate } from '../../decisions/routing/types.js';
import type { Clock } from '../../ports/clock.js';

/** Options of a dispatcher. */
export interface DispatcherOptions {
  clock: Clock;
  /** Lists the backend servers that can run a target now, with their loads. */
  listCandidates: (target: string) => Candidate[];
  random?: () => number;
  /** Most requests that wait at once; 2,000 by default. */
  maximumWaiting?: number;
  chooseNext?: typeof chooseNextRequest;
  choose?: typeof chooseBackendServer;
}

/** A request for a backend server. */
export interface DispatchRequest {
  /** Model, adapter or plain service. */
  target: string;
  organisation: string;
  /** Tokens a second that the organisation may use: its weight. */
  rate: number;
  tokens: number;
  class: RequestClass;
  deadlineAtMs: number;
  prefix?: string;
  /** Backend servers that have already failed this request. */
  excluded?: ReadonlySet<string>;
  signal?: AbortSignal;
}

/** A place on a backend server; to be released once. */
export interface DispatchPermit {
  candidate: Candidate;
  release: () => void;
}

/** Why no place was found. */
export const DispatchRefusal = {
  noBackendServer: 'noBackendServer',
  queueFull: 'queueFull',
  deadline: 'deadline',
  cancelled: 'cancelled',
} as const;
export type DispatchRefusal = (typeof DispatchRefusal)[keyof typeof DispatchRefusal];

/** Outcome of a request for a backend server. */
export type DispatchResult = { permit: DispatchPermit } | { refusal: DispatchRefusal };

/** Gives requests places on backend servers, fairly between organisations and by class. */
export interface Dispatcher {
  dispatch: (request: DispatchRequest) => Promise<DispatchResult>;
  /** Requests of this host in flight by backend server. */
  getInFlight: () => Record<string, number>;
  countWaiting: () => number;
  /** Tells whether any server of a target is left beside the excluded ones, with room or without. */
  hasCandidate: (target: string, excluded: ReadonlySet<string>) => boolean;
  /** Looks again after candidates or their loads have changed. */
  dispatchQueued: () => void;
  stop: () => void;
}

interface Waiter extends WaitingRequest {
  request: DispatchRequest;
  resolve: (result: DispatchResult) => void;
}

const CHECK_MS = 20;

/** Creates a dispatcher with an empty queue. */
export function createDispatcher(options: DispatcherOptions): Dispatcher {
  const {
    clock,
    listCandidates,
    random = Math.random,
    maximumWaiting = 2000,
    chooseNext = chooseNextRequest,
    choose = chooseBackendServer,
  } = options;
  const inFlight = new Map<string, number>();
  const waiting = new Map<string, Waiter>();
  let served: VirtualServiceTimes = {};
  let nextId = 0;
  let timer: NodeJS.Timeout | undefined;

  const listOpen = ({ target, excluded }: DispatchRequest): Candidate[] => {
    const candidates = listCandidates(target);
    const left = candidates.filter(({ id }) => excluded?.has(id) !== true);
    return left.map((candidate) => ({
      ...candidate,
      inFlight: candidate.inFlight + (inFlight.get(candidate.id) ?? 0),
    }));
  };

  const createPlace = (candidate: Candidate): DispatchPermit => {
    inFlight.set(candidate.id, (inFlight.get(candidate.id) ?? 0) + 1);
    let isReleased = false;
    return {
      candidate,
      release: () => {
        if (isReleased) return;
        isReleased = true;
        const left = (inFlight.get(candidate.id) ?? 1) - 1;
        if (left > 0) inFlight.set(candidate.id, left);
        else inFlight.delete(candidate.id);
        startWaiting();
      },
    };
  };

  const hasRoom = (target: string): boolean =>
    listCandidates(target).some(
      ({ id, inFlight: known, window }) => known + (inFlight.get(id) ?? 0) < window,
    );

  const finish = (waiter: Waiter, result: DispatchResult): void => {
    waiting.delete(waiter.id);
    waiter.resolve(result);
  };

  const record = ({ organisation, tokens, rate }: DispatchRequest): void => {
    const others = [...waiting.values()].map((waiter) => waiter.organisation);
    served = recordServedTokens(served, organisation, tokens, rate, others);
  };

  const tryToStart = (waiter: Waiter): boolean => {
    const { prefix } = waiter.request;
    const candidate = choose(listOpen(waiter.request), { prefix, random });
    if (candidate === undefined) return false;
    record(waiter.request);
    finish(waiter, { permit: createPlace(candidate) });
    return true;
  };

  const dropLate = (nowMs: number): void => {
    for (const waiter of [...waiting.values()])
      if (nowMs >= waiter.deadlineAtMs) {
        const refusal =
          listOpen(waiter.request).length === 0
            ? DispatchRefusal.noBackendServer
            : DispatchRefusal.deadline;
        finish(waiter, { refusal });
      }
  };

  /** Starts what can start, in the order of the queue; targets without room are passed over. */
  function startWaiting(): void {
    const nowMs = clock.monotonicMs();
    dropLate(nowMs);
    const targets = new Set([...waiting.values()].map(({ request }) => request.target));
    const openTargets = new Set([...targets].filter(hasRoom));
    let open = [...waiting.values()].filter(({ request }) => openTargets.has(request.target));
    while (open.length > 0) {
      const next = chooseNext(open, served, nowMs);
      const waiter = next === undefined ? undefined : waiting.get(next.id);
      if (waiter === undefined) break;
      const isStarted = tryToStart(waiter);
      // A retry may be shut out of servers that are open to others.
      const isTargetFull = !isStarted && waiter.request.excluded === undefined;
      open = open.filter(
        (other) =>
          other.id !== waiter.id &&
          !(isTargetFull && other.request.target === waiter.request.target),
      );
    }
    if (waiting.size > 0) timer ??= setInterval(startWaiting, CHECK_MS);
    else {
      clearInterval(timer);
      timer = undefined;
    }
  }

  return {
    dispatch: (request) => {
      // The usual case: nobody waits and a server has room.
      const candidate =
        waiting.size > 0 || request.signal?.aborted === true
          ? undefined
          : choose(listOpen(request), { prefix: request.prefix, random });
      if (candidate !== undefined) {
        record(request);
        return Promise.resolve({ permit: createPlace(candidate) });
      }
      return new Promise((resolve) => {
        if (waiting.size >= maximumWaiting) {
          resolve({ refusal: DispatchRefusal.queueFull });
          return;
        }
        if (request.signal?.aborted === true) {
          resolve({ refusal: DispatchRefusal.cancelled });
          return;
        }
        nextId += 1;
        const { organisation, deadlineAtMs } = request;
        const waiter: Waiter = {
          id: String(nextId),
          organisation,
          class: request.class,
          enqueuedAtMs: clock.monotonicMs(),
          deadlineAtMs,
          request,
          resolve,
        };
        waiting.set(waiter.id, waiter);
        request.signal?.addEventListener(
          'abort',
          () => {
            if (waiting.has(waiter.id)) finish(waiter, { refusal: DispatchRefusal.cancelled });
          },
          { once: true },
        );
        startWaiting();
      });
    },
    getInFlight: () => Object.fromEntries(inFlight),
    countWaiting: () => waiting.size,
    hasCandidate: (target, excluded) => listCandidates(target).some(({ id }) => !excluded.has(id)),
    dispatchQueued: startWaiting,
    stop: () => {
      clearInterval(timer);
      for (const waiter of [...waiting.values()])
        finish(waiter, { refusal: DispatchRefusal.cancelled });
    },
  };
}
