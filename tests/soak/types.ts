/** What a fault of the soak does. */
export const FaultKind = {
  /** SIGKILL, and a start some time later. */
  kill: 'kill',
  /** SIGKILL of all hosts at once. */
  killAll: 'killAll',
  /** SIGTERM, and a start after the exit. */
  stop: 'stop',
  /** SIGSTOP, then SIGCONT. */
  pause: 'pause',
  /** SIGHUP. */
  reload: 'reload',
  /** The wall clock jumps and jumps back. */
  clock: 'clock',
  /** The connections of a host to the store are disturbed. */
  storeLink: 'storeLink',
  /** The connections of the other hosts to a host are disturbed. */
  peerLink: 'peerLink',
  /** The connections of all hosts to an engine are disturbed. */
  engineLink: 'engineLink',
  store: 'store',
  /** The store drops its history. */
  compact: 'compact',
  /** An engine loses all it holds and starts anew. */
  engineRestart: 'engineRestart',
  /** An engine leaves, and comes back later. */
  engineDrain: 'engineLeave',
  /** An engine fails some of its requests. */
  engineFailure: 'engineFate',
  lateOrders: 'lateOrders',
  /** The operators put another configuration in force. */
  configuration: 'configuration',
} as const;
export type FaultKind = (typeof FaultKind)[keyof typeof FaultKind];

/** One fault of a plan. */
export interface Fault {
  kind: FaultKind;
  /** Milliseconds from the start of the load. */
  atMs: number;
  forMs: number;
  /** Host or engine that it hits, by number. */
  target: number;
  /** Variant, for the kinds that have some. */
  how: string;
}

/** A fault while it lasted, for the checks that hold only beside calm hosts. */
export interface Disturbance {
  kind: FaultKind;
  /** Host that is disturbed; undefined for what disturbs all of them. */
  host?: string;
  fromMs: number;
  toMs: number;
}

/** What a caller saw of one request. */
export interface SoakRequest {
  id: string;
  route: string;
  host: string;
  /** Process of the host when the request was sent. */
  incarnation: number;
  organisation: string;
  sentAtMs: number;
  endedAtMs: number;
  /** 0 when no head arrived. */
  status: number;
  isWhole: boolean;
  hasSeal: boolean;
  body: string;
  /** When the caller left by itself; undefined when it stayed. */
  leftAtMs?: number;
  /** Version that a probe asked for. */
  version?: number;
}

/** What a backend server saw of one request. */
export interface SoakRun {
  id: string;
  engine: string;
  atMs: number;
  target: string;
  organisation: string;
  tokens: number;
  lastEventId: number;
}

/** An order as it arrived at an engine, accepted or not. */
export interface SoakReceivedOrder {
  engine: string;
  atMs: number;
  holder: string;
  fence: number;
}

/** An order that an engine carried out, with what it held before. */
export interface SoakExecutedOrder {
  engine: string;
  action: string;
  model: string;
  adapter?: string;
  held: { name: string; adapters: string[] }[];
}

/** All that was seen in one run of the soak. */
export interface SoakRecord {
  requests: SoakRequest[];
  runs: SoakRun[];
  arrivals: SoakReceivedOrder[];
  orders: SoakExecutedOrder[];
  disturbances: Disturbance[];
  /** When each version was put in force. */
  versions: { version: number; atMs: number }[];
  /** Engines that left, from the store's answer until they came back. */
  departures: { engine: string; fromMs: number; toMs: number }[];
  /** Planned stops, from the signal to the exit. */
  stops: { host: string; incarnation: number; fromMs: number; toMs: number }[];
  /** When the last fault was over. */
  calmFromMs: number;
}

/** A promise that was broken. */
export interface Violation {
  promise: string;
  detail: string;
}
