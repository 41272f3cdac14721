/** What may be repeated of a route's requests. */
export const RetryPolicy = {
  /** May run more than once. */
  idempotent: 'idempotent',
  /** A stream that another engine can go on with. */
  resumable: 'resumable',
  /** May run once at most. */
  once: 'once',
} as const;
export type RetryPolicy = (typeof RetryPolicy)[keyof typeof RetryPolicy];

/** A service that takes part of a route's requests. */
export interface WeightedService {
  service: string;
  weight: number;
}

/** Where requests of a host name and path prefix go, and what may be done with them. */
export interface ServingRoute {
  name: string;
  hostName: string;
  /** Begins and ends with a slash. */
  prefix: string;
  isStream: boolean;
  retryPolicy: RetryPolicy;
  /** Longest time from a request's arrival to its final answer. */
  timeoutMs: number;
  /** Time within which the answer, or the first event of a stream, is of full use. */
  latencyTargetMs: number;
  /** 0 is the most urgent. */
  priority: number;
  shares: readonly WeightedService[];
  /** Most backend servers that one request may run on. */
  maximumAttempts: number;
  /** Needs no key. */
  isAuthExempt: boolean;
}

/** A model that the engines of a service may hold. */
export interface ServingModel {
  name: string;
  weightsMb: number;
  /** Time of a load from the weight store. */
  loadMs: number;
  /** Time of a load from the engine's own disk. */
  diskLoadMs: number;
  adapterCount: number;
  adapterMb: number;
}

/** What the engines of a service have in common. */
export interface EnginePool {
  /** Requests in one batch. */
  slots: number;
  /** Tokens that fit into an engine's memory beside the weights. */
  memoryTokens: number;
  weightsMb: number;
  adapterSlots: number;
  /** Loads from the weight store a second over all engines. */
  loadsPerSecond: number;
  models: readonly ServingModel[];
}

/** A group of backend servers that are alike. */
export interface ServingService {
  name: string;
  /** Connections that one backend server takes from all callers. */
  maximumConnections: number;
  /** Left out for services that hold no models. */
  engines?: EnginePool;
}

/** An organisation whose rate and burst hold over all hosts together. */
export interface ServingOrganisation {
  name: string;
  priority?: number;
  /** Tokens a second; 0 for no limit. */
  rate: number;
  burst: number;
  /** What a request without token counts is charged. */
  defaultTokens: number;
}

/** Limits on what a caller may send. */
export interface CallerLimits {
  maximumHeaderBytes: number;
  maximumBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** All that the operators have put in force. */
export interface ServingConfiguration {
  version: number;
  routes: readonly ServingRoute[];
  services: ReadonlyMap<string, ServingService>;
  /** Organisations by key; undefined where no key is asked for. */
  organisationsByKey?: ReadonlyMap<string, ServingOrganisation>;
  limits: CallerLimits;
}

/** A model with the adapters of it that an engine holds. */
export interface ResidentModel {
  name: string;
  adapters: readonly string[];
}

/** A backend server as it describes itself. */
export interface BackendServer {
  id: string;
  service: string;
  address: string;
  port: number;
  dataCentre: string;
  slots: number;
  isLeaving: boolean;
  models: readonly ResidentModel[];
  /** Changes with each start of the server, also under the same id. */
  incarnation: string;
}

/** Part of a prompt that other requests may share. */
export interface PromptPart {
  id: string;
  tokens: number;
}

/** One request of a caller, whatever the protocol by which it came. */
export interface ServingRequest {
  /** The caller's own id of this attempt; empty when it sent none. */
  id: string;
  method: string;
  /** Path with query, as it came. */
  target: string;
  /** End-to-end headers for the backend server, without what the system sets itself. */
  headers: readonly string[];
  body: Buffer;
  route: ServingRoute;
  service: string;
  organisation?: ServingOrganisation;
  model?: string;
  adapter?: string;
  parts: readonly PromptPart[];
  promptTokens: number;
  maximumOutputTokens: number;
  /** What the request counts against its organisation's rate. */
  chargedTokens: number;
  priority: number;
  /** Monotonic milliseconds. */
  arrivedAtMs: number;
  /** When the caller's own patience and the route's timeout are over, whichever is first. */
  deadlineAtMs: number;
  /** The caller goes on with a stream after this event. */
  lastEventId?: string;
}

/** Head of an answer; headers alternate between name and value. */
export interface ResponseHead {
  status: number;
  headers: readonly string[];
  /** False when only the end of its connection ends the answer, so that nobody can tell it whole. */
  isFramed: boolean;
}

/** Where the answer to one request goes. */
export interface CallerResponse {
  isHeadSent: () => boolean;
  /** Aborted when the caller has left. */
  signal: AbortSignal;
  sendHead: (head: ResponseHead) => void;
  /** Returns false while the caller does not keep up. */
  write: (chunk: Buffer) => boolean;
  /** Calls back once the caller keeps up again. */
  onDrain: (resume: () => void) => void;
  end: () => void;
  /** Sends a refusal or failure of the system's own. */
  fail: (status: number, reason: string, retryAfterMs?: number) => void;
  /** Resets the connection, so that what was sent can't look complete. */
  resetConnection: () => void;
}

/** Why an attempt brought no whole answer. */
export const AttemptFailure = {
  /** No connection: no byte was sent. */
  unreachable: 'unreachable',
  /** The server itself said that it did not run the request. */
  refused: 'refused',
  /** The server does not hold the model, or is another one than expected. */
  misdirected: 'misdirected',
  /** The request was sent and may have run. */
  broken: 'broken',
} as const;
export type AttemptFailure = (typeof AttemptFailure)[keyof typeof AttemptFailure];

/** What one attempt reports. */
export interface AttemptHandlers {
  onHead: (head: ResponseHead) => void;
  /** Returns false to pause. */
  onData: (chunk: Buffer) => boolean;
  onEnd: () => void;
  /** Comes at most once and not after onEnd. */
  onFailure: (failure: AttemptFailure, reason: string) => void;
}

/** One attempt on its way. */
export interface Attempt {
  abort: () => void;
  resume: () => void;
}

/** Options of an attempt. */
export interface AttemptOptions {
  /** Time that the server may work on it. */
  remainingMs: number;
  /** Opens a connection of its own, so that a stale one can't leave the outcome unknown. */
  needsFreshConnection?: boolean;
  /** Goes on with a stream after this event. */
  lastEventId?: string;
}

/** Sends requests to backend servers. */
export interface BackendClient {
  send: (
    server: BackendServer,
    request: ServingRequest,
    handlers: AttemptHandlers,
    options: AttemptOptions,
  ) => Attempt;
  /** Closes the connections to servers that are gone. */
  retainConnections: (servers: ReadonlySet<string>) => void;
  close: () => void;
}

/** The server that callers reach. */
export interface CallerListener {
  /** Settles with the port. */
  listen: () => Promise<number>;
  setConfiguration: (configuration: ServingConfiguration) => void;
  /** From now on answers end their connection. */
  startDraining: () => void;
  /** From now on requests are refused as not run. */
  startRejecting: () => void;
  /** Takes no new connections and closes the idle ones. */
  stopListening: () => void;
  countActive: () => number;
}
