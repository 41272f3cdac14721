/** A class of requests of the load. */
export interface SimulatedClass {
  priority: number;
  targetMs: number;
  timeoutMs: number;
  weight: number;
  meanTokens: number;
}

/** A load on one service. */
export interface AdmissionLoad {
  seed: number;
  seconds: number;
  engines: number;
  hosts: number;
  classes: readonly SimulatedClass[];
  /** Work as a fraction of what the engines process. */
  computeUtilisation: (second: number) => number;
  /** Weights of the organisations at a time. */
  computeWeights: (second: number) => readonly number[];
  maximumRefusedShare: number;
  fairWeight: number;
  /** Second at which the leader fails, and another one takes over two seconds later. */
  leaderFailsAt?: number;
  /** From this second on, views have no levels. */
  olderLeaderFrom?: number;
}

/** What became of the requests of one kind. */
export interface Tally {
  sent: number;
  inTime: number;
  late: number;
  refused: number;
}

/** Result of a replay: tallies by class, organisation and size, and what callers were told. */
export interface AdmissionReplay {
  total: Tally;
  classes: Tally[];
  organisations: Tally[];
  large: Tally;
  /** Retry times relative to the time that the caller had left, and the share of them that found capacity. */
  retryFractions: number[];
  retriesAdmitted: number;
  retries: number;
  /** Largest number of retries in 100 ms. */
  retryPeak: number;
  refusedWhileFree: number;
  /** Level as host 0 knew it, each 100 ms. */
  levels: number[];
}
