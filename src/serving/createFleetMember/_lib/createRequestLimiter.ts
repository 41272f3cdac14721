import { computeUsableRate } from '../../../decisions/limits/computeUsableRate/index.js';
import {
  createLocalSchedule,
  reserveLocalRequest,
} from '../../../decisions/limits/reserveLocalRequest/index.js';
import {
  COLD_BURST_MS,
  type RequestSchedule,
  type Reservation,
} from '../../../decisions/limits/types.js';
import type { Clock } from '../../../ports/clock.js';
import type { FleetMessage } from '../../fleetMessages.js';
import type { FleetLeader } from '../../startFleetLeader/index.js';
import type { RequestLimiter } from '../../types.js';
import { createPendingReplies } from './createPendingReplies.js';

type ReservationReply = Pick<Reservation, 'isGranted' | 'waitMs'>;

/** A host's part in keeping the request limits of servers. */
export interface MemberRequestLimiter extends RequestLimiter {
  settle: (reply: Extract<FleetMessage, { type: 'reservation' }>) => void;
}

/** Options of the request limiter. */
export interface RequestLimiterOptions {
  clock: Clock;
  random: () => number;
  /** Requests per second that a server takes from all hosts; Infinity without a limit. */
  getRequestLimit: (incarnation: string) => number;
  /** Whether the limit is that of a cold server; false by default. */
  isCold?: (incarnation: string) => boolean;
  getHostCount: () => number;
  /** Whether a leader sends views to this host. */
  isLed: () => boolean;
  /** The leader, if it is this host. */
  getLeader: () => Pick<FleetLeader, 'reserveRequest'> | undefined;
  sendToLeader: (message: FleetMessage) => boolean;
}

const REPLY_TIMEOUT_MS = 250; // one message each way, also to a busy leader
const MAX_SCHEDULES = 10_000; // far more than the servers of a fleet

/**
 * Creates the request limiter of a host. With a leader the hosts share one schedule for each server;
 * a host without one keeps to its share of the limit, which the leader leaves to it.
 */
export function createRequestLimiter(options: RequestLimiterOptions): MemberRequestLimiter {
  const { clock, random, getRequestLimit, getHostCount, getLeader, sendToLeader } = options;
  const { isCold = () => false } = options;
  const replies = createPendingReplies<ReservationReply>(REPLY_TIMEOUT_MS);
  /** When a server is expected to take a further request, as of the last reservation. */
  const nextAtMs = new Map<string, number>();
  /** This host's schedules for times without a leader. */
  const localSchedules = new Map<string, RequestSchedule>();

  const reserveLocally = (server: string, maximumWaitMs: number): ReservationReply => {
    const hostCount = getHostCount();
    const perSecond = computeUsableRate(getRequestLimit(server));
    const limits = { nowMs: clock.monotonicMs(), perSecond, hostCount };
    const schedule = localSchedules.get(server) ?? createLocalSchedule(limits, random());
    const reservation = reserveLocalRequest(schedule, {
      ...limits,
      maximumWaitMs,
      burstMs: isCold(server) ? COLD_BURST_MS : undefined,
    });
    localSchedules.set(server, reservation.schedule);
    return reservation;
  };

  const reserveAnywhere = async (
    server: string,
    maximumWaitMs: number,
  ): Promise<ReservationReply> => {
    const request = { server, perSecond: getRequestLimit(server), maximumWaitMs };
    const leader = getLeader();
    if (leader !== undefined) return leader.reserveRequest(request);
    const reply = options.isLed()
      ? await replies.request((id) => sendToLeader({ type: 'reserve', id, ...request }))
      : undefined;
    return reply ?? reserveLocally(server, maximumWaitMs);
  };

  const recordNext = (server: string, waitMs: number): void => {
    nextAtMs.set(server, clock.monotonicMs() + waitMs);
    for (const map of [nextAtMs, localSchedules]) {
      const [oldest] = map.keys();
      if (map.size > MAX_SCHEDULES && oldest !== undefined) map.delete(oldest);
    }
  };

  return {
    getWaitMs: (server) =>
      getRequestLimit(server) === Infinity
        ? 0
        : Math.max(0, (nextAtMs.get(server) ?? -Infinity) - clock.monotonicMs()),
    reserve: async (server, maximumWaitMs) => {
      if (getRequestLimit(server) === Infinity) return 0;
      const { isGranted, waitMs } = await reserveAnywhere(server, maximumWaitMs);
      recordNext(server, waitMs);
      return isGranted ? waitMs : undefined;
    },
    settle: ({ id, isGranted, waitMs }) => replies.settle(id, { isGranted, waitMs }),
  };
}
