import { computeUsableRate } from '../../../decisions/limits/computeUsableRate/index.js';
import { reserveRequest } from '../../../decisions/limits/reserveRequest/index.js';
import {
  COLD_BURST_MS,
  type RequestSchedule,
  type Reservation,
} from '../../../decisions/limits/types.js';
import type { Clock } from '../../../ports/clock.js';

/** A host's request to send one request to a server with a request limit. */
export interface ReservationRequest {
  /** Incarnation of the server. */
  server: string;
  /** Limit as the host knows it, in requests per second. */
  perSecond: number;
  /** Longest wait in milliseconds that is worth a reservation. */
  maximumWaitMs: number;
}

/** Schedules of the servers that limit their requests, for all hosts that report to the leader. */
export interface RequestSchedules {
  reserve: (request: ReservationRequest) => Pick<Reservation, 'isGranted' | 'waitMs'>;
  /** Sets the fraction of the hosts that report; the others use their own shares of the limits. */
  setReportingFraction: (fraction: number) => void;
}

/** Options of the schedules. */
export interface RequestSchedulesOptions {
  clock: Clock;
  /** Requests per second that a server takes; Infinity without a limit. */
  getRequestLimit: (incarnation: string) => number;
  /** Whether the limit is that of a cold server; false by default. */
  isCold?: (incarnation: string) => boolean;
}

/** What the previous leader and local shares have granted to a cold server is mostly sent by then. */
const COLD_START_MS = 500;
const MAX_SCHEDULES = 10_000; // far more than the servers of a fleet

/** Creates the schedules of a new leader. */
export function createRequestSchedules(options: RequestSchedulesOptions): RequestSchedules {
  const { clock, getRequestLimit, isCold = () => false } = options;
  const schedules = new Map<string, RequestSchedule>();
  let fraction = 1;

  return {
    reserve: ({ server, perSecond: knownLimit, maximumWaitMs }) => {
      const limit = Math.min(knownLimit, getRequestLimit(server));
      if (limit === Infinity) return { isGranted: true, waitMs: 0 };
      const perSecond = computeUsableRate(limit, fraction);
      const nowMs = clock.monotonicMs();
      const isServerCold = isCold(server);
      // What the previous leader has granted may still be under way.
      const firstMs = Math.max(1000 / perSecond, isServerCold ? COLD_START_MS : 0);
      const schedule = schedules.get(server) ?? { nextAtMs: nowMs + firstMs };
      const reservation = reserveRequest(schedule, {
        nowMs,
        perSecond,
        maximumWaitMs,
        burstMs: isServerCold ? COLD_BURST_MS : undefined,
      });
      schedules.set(server, reservation.schedule);
      const [oldest] = schedules.keys();
      if (schedules.size > MAX_SCHEDULES && oldest !== undefined) schedules.delete(oldest);
      return reservation;
    },
    setReportingFraction: (next) => {
      fraction = next;
    },
  };
}
