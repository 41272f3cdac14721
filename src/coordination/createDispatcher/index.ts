import type { RequestClass } from '../../decisions/bundle/types.js';
import { chooseNextRequest } from '../../decisions/queue/chooseNextRequest/index.js';
import { recordServedTokens } from '../../decisions/queue/recordServedTokens/index.js';
import type { VirtualServiceTimes, WaitingRequest } from '../../decisions/queue/types.js';
import { chooseBackendServer } from '../../decisions/routing/chooseBackendServer/index.js';
import type { Candidate } from '../../decisions/routing/types.js';
import type { Clock } from '../../ports/clock.js';

/** Dependencies and options of a dispatcher. */
export interface DispatcherOptions {
  clock: Clock;
  /** Lists the backend servers that can serve a target now, with their requests in flight. */
  listCandidates: (target: string) => Candidate[];
  random?: () => number;
  /** Maximum length of the queue; 2,000 by default. */
  maximumWaiting?: number;
  /** Scheduling policy: picks the next queued request. */
  chooseNext?: typeof chooseNextRequest;
  /** Load balancing policy: picks a backend server among the candidates. */
  choose?: typeof chooseBackendServer;
}

/** A request to be dispatched to a backend server. */
export interface DispatchRequest {
  /** Model, adapter or plain service (one without models). */
  target: string;
  organisation: string;
  /** Rate limit of the organisation in tokens a second; its weight in fair queueing. */
  rate: number;
  tokens: number;
  class: RequestClass;
  deadlineAtMs: number;
  /** Model and start of the prompt, by which requests with a common prefix prefer the same server. */
  prefix?: string;
  /** Ids of the backend servers on which this request has already failed. */
  excluded?: ReadonlySet<string>;
  signal?: AbortSignal;
}

/** Permit to run one request on a backend server; releasing it again has no effect. */
export interface DispatchPermit {
  candidate: Candidate;
  release: () => void;
}

/** Why a request was not dispatched. */
export const DispatchRefusal = {
  noBackendServer: 'noBackendServer',
  queueFull: 'queueFull',
  deadline: 'deadline',
  cancelled: 'cancelled',
} as const;
export type DispatchRefusal = (typeof DispatchRefusal)[keyof typeof DispatchRefusal];

/** Outcome of a dispatch. */
export type DispatchResult = { permit: DispatchPermit } | { refusal: DispatchRefusal };

/** Dispatches requests to backend servers, with fair queueing between organisations and by class. */
export interface Dispatcher {
  /** Grants a permit at once or queues the request until its deadline or abort. */
  dispatch: (request: DispatchRequest) => Promise<DispatchResult>;
  /** Returns this host's requests in flight, by backend server. */
  getInFlight: () => Record<string, number>;
  /** Returns the length of the queue. */
  countWaiting: () => number;
  /** Returns whether a target has any server that is not excluded, regardless of its free capacity. */
  hasCandidate: (target: string, excluded: ReadonlySet<string>) => boolean;
  /** Dispatches queued requests; to be called when candidates or their loads have changed. */
  dispatchQueued: () => void;
  /** Cancels all queued requests. */
  stop: () => void;
}

interface QueueEntry extends WaitingRequest {
  request: DispatchRequest;
  resolve: (result: DispatchResult) => void;
}

const QUEUE_CHECK_INTERVAL_MS = 20;

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
  const queue = new Map<string, QueueEntry>();
  let virtualServiceTimes: VirtualServiceTimes = {};
  let nextId = 0;
  let timer: NodeJS.Timeout | undefined;

  const listEligibleServers = ({ target, excluded }: DispatchRequest): Candidate[] => {
    const candidates = listCandidates(target);
    const servers = candidates.filter(({ id }) => excluded?.has(id) !== true);
    return servers.map((candidate) => ({
      ...candidate,
      inFlight: candidate.inFlight + (inFlight.get(candidate.id) ?? 0),
    }));
  };

  const createPermit = (candidate: Candidate): DispatchPermit => {
    inFlight.set(candidate.id, (inFlight.get(candidate.id) ?? 0) + 1);
    let isReleased = false;
    return {
      candidate,
      release: () => {
        if (isReleased) return;
        isReleased = true;
        const remaining = (inFlight.get(candidate.id) ?? 1) - 1;
        if (remaining > 0) inFlight.set(candidate.id, remaining);
        else inFlight.delete(candidate.id);
        serveQueue();
      },
    };
  };

  const hasFreeCapacity = (target: string): boolean =>
    listCandidates(target).some(
      ({ id, inFlight: candidateInFlight, window }) =>
        candidateInFlight + (inFlight.get(id) ?? 0) < window,
    );

  const complete = (entry: QueueEntry, result: DispatchResult): void => {
    queue.delete(entry.id);
    entry.resolve(result);
  };

  const recordDispatch = ({ organisation, tokens, rate }: DispatchRequest): void => {
    const queuedOrganisations = [...queue.values()].map((entry) => entry.organisation);
    virtualServiceTimes = recordServedTokens(
      virtualServiceTimes,
      organisation,
      tokens,
      rate,
      queuedOrganisations,
    );
  };

  const tryDispatch = (entry: QueueEntry): boolean => {
    const { prefix } = entry.request;
    const candidate = choose(listEligibleServers(entry.request), { prefix, random });
    if (candidate === undefined) return false;
    recordDispatch(entry.request);
    complete(entry, { permit: createPermit(candidate) });
    return true;
  };

  const refuseOverdue = (nowMs: number): void => {
    for (const entry of [...queue.values()])
      if (nowMs >= entry.deadlineAtMs) {
        const refusal =
          listEligibleServers(entry.request).length === 0
            ? DispatchRefusal.noBackendServer
            : DispatchRefusal.deadline;
        complete(entry, { refusal });
      }
  };

  /** Dispatches queued requests in scheduling order; targets without free capacity are skipped. */
  function serveQueue(): void {
    const nowMs = clock.monotonicMs();
    refuseOverdue(nowMs);
    const targets = new Set([...queue.values()].map(({ request }) => request.target));
    const availableTargets = new Set([...targets].filter(hasFreeCapacity));
    let eligibleEntries = [...queue.values()].filter(({ request }) =>
      availableTargets.has(request.target),
    );
    while (eligibleEntries.length > 0) {
      const next = chooseNext(eligibleEntries, virtualServiceTimes, nowMs);
      const entry = next === undefined ? undefined : queue.get(next.id);
      if (entry === undefined) break;
      const isDispatched = tryDispatch(entry);
      // A retry with excluded servers says nothing about the capacity left for other requests.
      const isTargetFull = !isDispatched && entry.request.excluded === undefined;
      eligibleEntries = eligibleEntries.filter(
        (other) =>
          other.id !== entry.id && !(isTargetFull && other.request.target === entry.request.target),
      );
    }
    if (queue.size > 0) timer ??= setInterval(serveQueue, QUEUE_CHECK_INTERVAL_MS);
    else {
      clearInterval(timer);
      timer = undefined;
    }
  }

  return {
    dispatch: (request) => {
      // Fast path: the queue is empty and a server has free capacity.
      const candidate =
        queue.size > 0 || request.signal?.aborted === true
          ? undefined
          : choose(listEligibleServers(request), { prefix: request.prefix, random });
      if (candidate !== undefined) {
        recordDispatch(request);
        return Promise.resolve({ permit: createPermit(candidate) });
      }
      return new Promise((resolve) => {
        if (queue.size >= maximumWaiting) {
          resolve({ refusal: DispatchRefusal.queueFull });
          return;
        }
        if (request.signal?.aborted === true) {
          resolve({ refusal: DispatchRefusal.cancelled });
          return;
        }
        nextId += 1;
        const { organisation, deadlineAtMs } = request;
        const entry: QueueEntry = {
          id: String(nextId),
          organisation,
          class: request.class,
          enqueuedAtMs: clock.monotonicMs(),
          deadlineAtMs,
          request,
          resolve,
        };
        queue.set(entry.id, entry);
        request.signal?.addEventListener(
          'abort',
          () => {
            if (queue.has(entry.id)) complete(entry, { refusal: DispatchRefusal.cancelled });
          },
          { once: true },
        );
        serveQueue();
      });
    },
    getInFlight: () => Object.fromEntries(inFlight),
    countWaiting: () => queue.size,
    hasCandidate: (target, excluded) => listCandidates(target).some(({ id }) => !excluded.has(id)),
    dispatchQueued: serveQueue,
    stop: () => {
      clearInterval(timer);
      for (const entry of [...queue.values()])
        complete(entry, { refusal: DispatchRefusal.cancelled });
    },
  };
}
