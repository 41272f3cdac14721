/**
 * Which retries the requests of a route allow: any until the response starts, also going on with
 * a stream on another server, or only retries while the request cannot have run.
 */
export const RetryPolicy = {
  /** May run more than once, so that a failed attempt is retried. */
  idempotent: 'idempotent',
  /** A stream that another engine can resume after the last event. */
  resumable: 'resumable',
  /** May run at most once; not retried when an attempt may have run. */
  once: 'once',
} as const;
export type RetryPolicy = (typeof RetryPolicy)[keyof typeof RetryPolicy];

/** A service that receives requests of a route in proportion to its weight. */
export interface WeightedService {
  service: string;
  weight: number;
}

/** A route: the host name and path prefix of requests, and how they are served. */
export interface ServingRoute {
  name: string;
  hostName: string;
  /** Path prefix; begins and ends with a slash. */
  prefix: string;
  isStream: boolean;
  retryPolicy: RetryPolicy;
  /** Maximum time from the arrival of a request to the end of its response. */
  timeoutMs: number;
  /** Target time for the response, or for the first event of a stream. */
  latencyTargetMs: number;
  /** Longest pause between the events of a stream that callers accept; omitted where it is not declared. */
  pauseTargetMs?: number;
  /** Priority; 0 is the most urgent. */
  priority: number;
  /** Services among which the requests are split. */
  shares: readonly WeightedService[];
  /** Maximum number of backend servers that one request may run on. */
  maximumAttempts: number;
  /** Whether requests need no API key. */
  isAuthExempt: boolean;
}

/** A model that the engines of a service may hold. */
export interface ServingModel {
  name: string;
  weightsMb: number;
  /** Time to load the model from the weight store. */
  loadMs: number;
  /** Time to load the model from the disk of the engine. */
  diskLoadMs: number;
  adapterCount: number;
  adapterMb: number;
}

/** Common properties of the engines of a service. */
export interface EnginePool {
  /** Maximum number of requests in a batch. */
  slots: number;
  /** Tokens that fit into the memory of an engine beside the weights. */
  memoryTokens: number;
  /** Tokens in one event of a stream; 1 by default. */
  tokensPerEvent?: number;
  weightsMb: number;
  adapterSlots: number;
  /** Loads from the weight store per second, over all engines. */
  loadsPerSecond: number;
  models: readonly ServingModel[];
}

/** A group of equivalent backend servers. */
export interface ServingService {
  name: string;
  /** Maximum connections that one backend server accepts in total. */
  maximumConnections: number;
  /** How long a server is cold after its start; 0 or absent where it is not stated. */
  coldStartMs?: number;
  /** Requests per second that a cold server takes from all hosts; 0 or absent without a limit. */
  coldRequestsPerSecond?: number;
  /** Properties of the engines; omitted for services without models. */
  engines?: EnginePool;
}

/** An organisation with a rate and burst that apply across all hosts. */
export interface ServingOrganisation {
  name: string;
  priority?: number;
  /** Tokens per second; 0 for no limit. */
  rate: number;
  burst: number;
  /** Tokens charged for a request without token counts. */
  defaultTokens: number;
}

/** Size limits and timeouts for the requests of callers. */
export interface CallerLimits {
  maximumHeaderBytes: number;
  maximumBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** Configuration that the operators have put in force. */
export interface ServingConfiguration {
  version: number;
  routes: readonly ServingRoute[];
  services: ReadonlyMap<string, ServingService>;
  /** Organisations by API key; undefined when no API key is required. */
  organisationsByKey?: ReadonlyMap<string, ServingOrganisation>;
  limits: CallerLimits;
}

/** A model loaded on an engine, with its loaded adapters. */
export interface ResidentModel {
  name: string;
  adapters: readonly string[];
}

/** A backend server as it registered itself. */
export interface BackendServer {
  id: string;
  service: string;
  address: string;
  port: number;
  dataCentre: string;
  slots: number;
  isLeaving: boolean;
  models: readonly ResidentModel[];
  /** Models of which the server keeps a copy of the weights in memory or on disk. */
  copies?: readonly string[];
  /** Changes with each start of the server, even if its id stays the same. */
  incarnation: string;
  /** Start of the server in Unix milliseconds; 0 or absent where it does not tell. */
  startedAtMs?: number;
  /** Renewals of its registration since then. */
  renewals?: number;
  /** Version of its software; absent where it is not known. */
  softwareVersion?: string;
  /** Remaining cold time when the registration was written, or when a leader passed it on. */
  coldRemainingMs?: number;
  /** When it is expected to be warm, in monotonic milliseconds of this host; absent while warm. */
  warmAtMs?: number;
}

/** Part of a prompt that other requests may share. */
export interface PromptPart {
  id: string;
  tokens: number;
}

/** A request of a caller, independent of the protocol. */
export interface ServingRequest {
  /** Id that the caller gave this attempt; empty when it sent none. */
  id: string;
  method: string;
  /** Path with query, as received. */
  target: string;
  /** End-to-end headers for the backend server, without those that this system sets. */
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
  /** Tokens charged to the rate of the organisation. */
  chargedTokens: number;
  priority: number;
  /** Arrival in monotonic milliseconds. */
  arrivedAtMs: number;
  /** Deadline of the caller or timeout of the route in monotonic milliseconds, whichever is first. */
  deadlineAtMs: number;
  /** The caller resumes a stream after the event with this id. */
  lastEventId?: string;
  /** Id of the request that brought the first event of the stream that the caller resumes. */
  resumedRequestId?: string;
}

/** What tells the end of a response of a server. */
export const ResponseFraming = {
  length: 'length',
  chunks: 'chunks',
  /** Only the end of its connection. */
  none: 'none',
} as const;
export type ResponseFraming = (typeof ResponseFraming)[keyof typeof ResponseFraming];

/** Head of a response; `headers` alternates between names and values. */
export interface ResponseHead {
  status: number;
  headers: readonly string[];
  /** How its server framed it, where that is known. */
  framing?: ResponseFraming;
}

/**
 * Handle that writes the response to one caller: `sendHead`, then `write` and `end`, or `fail` in
 * place of all three. `resetConnection` cuts off a response that cannot be completed.
 */
export interface CallerResponse {
  isHeadSent: () => boolean;
  /** Aborts when the caller disconnects before the end of the response. */
  signal: AbortSignal;
  sendHead: (head: ResponseHead) => void;
  /** Returns false when the caller reads too slowly and writing should pause. */
  write: (chunk: Buffer) => boolean;
  /** Calls back once writing may resume. */
  onDrain: (resume: () => void) => void;
  end: () => void;
  /** Sends a complete error response of this system; only allowed before the head is sent. */
  fail: (status: number, reason: string, retryAfterMs?: number) => void;
  /** Resets the connection, so that a partial response cannot be taken for a complete one. */
  resetConnection: () => void;
}

/** Reason why an attempt brought no complete response. */
export const AttemptFailure = {
  /** No connection was made and no byte sent. */
  unreachable: 'unreachable',
  /** The server responded that it did not run the request. */
  refused: 'refused',
  /** The server does not hold the model or adapter, or is a different one than expected. */
  misdirected: 'misdirected',
  /** The request was sent and may have run. */
  broken: 'broken',
} as const;
export type AttemptFailure = (typeof AttemptFailure)[keyof typeof AttemptFailure];

/**
 * Callbacks that receive the response of one attempt: `onHead`, then `onData` and `onEnd`, or
 * `onFailure` at any point. None is called after `Attempt.abort`.
 */
export interface AttemptHandlers {
  onHead: (head: ResponseHead) => void;
  /** Returns false to pause reading until `Attempt.resume` is called. */
  onData: (chunk: Buffer) => boolean;
  /** `reason` tells why a response without framing counts as over. */
  onEnd: (reason?: string) => void;
  /**
   * Called at most once, and not after `onEnd`. `isDisconnected` tells that the server ended the
   * connection before a complete response.
   */
  onFailure: (failure: AttemptFailure, reason: string, isDisconnected: boolean) => void;
}

/** Handle to abort an attempt in flight, or to resume reading after `onData` returned false. */
export interface Attempt {
  abort: () => void;
  resume: () => void;
}

/** Options of one attempt to send a request to a backend server. */
export interface AttemptOptions {
  /** Time until the deadline, which the server is told. */
  remainingMs: number;
  /** Opens a new connection, because a stale one could leave the outcome unknown. */
  needsFreshConnection?: boolean;
  /** Resumes a stream after the event with this id; takes precedence over that of the request. */
  lastEventId?: string;
  /** Sends the request only to the very process that has registered; false by default. */
  needsSameProcess?: boolean;
  /** Whether the request may be sent once a connection is there; always by default. */
  mayStillSend?: () => boolean;
  /** Whether the server may have stopped in an orderly way; never by default. */
  mayBeStopping?: () => boolean;
}

/** Client that sends requests to backend servers, one attempt per call and without retries. */
export interface BackendClient {
  send: (
    server: BackendServer,
    request: ServingRequest,
    handlers: AttemptHandlers,
    options: AttemptOptions,
  ) => Attempt;
  /** Closes idle connections, except to servers with the given incarnations. */
  retainConnections: (servers: ReadonlySet<string>) => void;
  close: () => void;
}

/** Handle of the server for callers: starts, configures, drains and stops it. */
export interface CallerListener {
  /** Starts listening; resolves to the port. */
  listen: () => Promise<number>;
  setConfiguration: (configuration: ServingConfiguration) => void;
  /** From now on, closes each connection after its next response. */
  startDraining: () => void;
  /** From now on, rejects all requests without running them. */
  startRejecting: () => void;
  /** Accepts no new connections and closes the idle ones. */
  stopListening: () => void;
  /** Counts the requests in flight. */
  countActive: () => number;
}
