/** What one response told of a server's request limit; times in monotonic milliseconds. */
export interface RequestLimit {
  /** Requests per second that the server takes from all hosts together; Infinity without a limit. */
  perSecond: number;
  /** When the request was sent to whose response the limit belongs. */
  sentAtMs: number;
  receivedAtMs: number;
}

/** When a server takes its next request. */
export interface RequestSchedule {
  nextAtMs: number;
}

/** A reservation, or its refusal, and the schedule after it. */
export interface Reservation {
  schedule: RequestSchedule;
  isGranted: boolean;
  /** Milliseconds until the request may be sent, or until the first free time where it is refused. */
  waitMs: number;
}

/** What a reservation depends on. */
export interface ReservationOptions {
  nowMs: number;
  /** Requests per second; above zero. */
  perSecond: number;
  /** Longest wait that is worth a reservation. */
  maximumWaitMs: number;
  /** Time whose unused requests may still be made up for; 1000 by default. */
  burstMs?: number;
}

/** Until when a server is cold, as one registration told; times in monotonic milliseconds. */
export interface RegisteredColdTime {
  warmAtMs: number;
  /** Remaining cold time as the registration states it. */
  statedMs: number;
  /** Renewals of the registration since the start of the server. */
  renewals: number;
  receivedAtMs: number;
}

/** Until when a server is cold, as one response told; times in monotonic milliseconds. */
export interface ToldColdTime {
  warmAtMs: number;
  /** When the request was sent to whose response the time belongs. */
  sentAtMs: number;
  receivedAtMs: number;
}

/** `burstMs` for a cold server, which crashes on what others take as a burst. */
export const COLD_BURST_MS = 250;
