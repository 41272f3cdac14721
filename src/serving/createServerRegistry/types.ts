import type { ServerCandidate, SharedPromptPart } from '../../decisions/serving/types.js';
import type { BackendServer, ServingConfiguration } from '../../ports/serving.js';
import type { SentPrefixUses } from '../prefixMessages.js';
import type { ServerOutcome } from './_lib/serverHealth.js';

/** Load on a server: requests in flight, unprocessed prompt tokens, and tokens held in memory. */
export interface ServerLoad {
  active: number;
  backlogTokens: number;
  reservedTokens: number;
  /** Part of the backlog that belongs to urgent requests. */
  urgentBacklogTokens: number;
}

/** Load that a request adds to a server. */
export interface RequestLoad {
  backlogTokens: number;
  reservedTokens: number;
  /** Whether the server processes the request before those that are not urgent. */
  isUrgent: boolean;
  /** Estimated time to first byte in milliseconds. */
  delayMs: number;
  /** Prompt parts that the server has processed once the response begins. */
  sharedParts: readonly SharedPromptPart[];
}

/** A request that counts towards the load of a server until it is released. */
export interface TrackedRequest {
  recordBytes: () => void;
  /** Records that the first bytes of the response arrived; to be called once at most. */
  recordFirstBytes: () => void;
  /** Removes the request from the load of the server; to be called once. */
  release: (outcome: ServerOutcome) => void;
}

/** Backend servers with their load, their health, and the models and adapters they hold. */
export interface ServerRegistry {
  setServers: (servers: ReadonlyMap<string, BackendServer>) => void;
  setConfiguration: (configuration: ServingConfiguration) => void;
  setRemoteLoads: (loads: ReadonlyMap<string, ServerLoad>) => void;
  /** Records prompt parts of requests that other hosts have sent lately. */
  recordRemoteUses: (uses: SentPrefixUses) => void;
  /** Returns the prompt parts of this host's requests since the last call; undefined without any. */
  takePrefixUses: () => SentPrefixUses | undefined;
  /** Estimates the requests with a prompt part in a millisecond, from all known hosts. */
  getPrefixRate: (key: string) => number;
  /** Milliseconds since this host last learned of uses by other hosts; Infinity before. */
  getUsesAgeMs: () => number;
  /** Sets the number of hosts that send requests to the servers; until then there may be hundreds. */
  setHostCount: (count: number) => void;
  getHostCount: () => number;
  /** Updates the adapters of engines that changed, as `MODEL/ADAPTER`. */
  updateAdapters: (changed: ReadonlyMap<string, ReadonlySet<string>>) => void;
  /** Drops the adapters known from the leader; those in the engines' registrations apply again. */
  clearAdapters: () => void;
  /** Sets the models that are about to be unloaded, as `SERVER/MODEL`. */
  setUnloadingModels: (models: ReadonlySet<string>) => void;
  setSuspects: (servers: ReadonlySet<string>) => void;
  findServer: (id: string) => BackendServer | undefined;
  listCandidates: (options: ListCandidatesOptions) => ServerCandidate[];
  /** Lists the evacuated data centres with servers of a service, or engines that hold the model. */
  listEvacuated: (options: Pick<ListCandidatesOptions, 'service' | 'model'>) => string[];
  /** Counts the requests of this host that run on the servers of a data centre. */
  countRunning: (dataCentre: string) => number;
  /** Overrides for a short time whether an engine holds an adapter, until the leader reports it. */
  recordAdapterState: (id: string, model: string, adapter: string, isLoaded: boolean) => void;
  /** Excludes an engine for a model for a short time, after it turned out to lack the model. */
  recordMissingModel: (id: string, model: string) => void;
  trackRequest: (id: string, load: RequestLoad) => TrackedRequest;
  getOwnLoads: () => Map<string, ServerLoad>;
  /** Lists servers with requests of this host in flight that have sent no bytes lately. */
  listSilent: () => string[];
  /** Lists servers that this host could not connect to lately. */
  listUnreachable: () => string[];
  /** Whether a server with requests in flight has sent nothing to any of them for a while. */
  isServerSilent: (id: string) => boolean;
}

/** Software version at which a stream was begun, and goes on only; undefined where it is not known. */
export interface BoundVersion {
  softwareVersion: string | undefined;
}

/** Filter for candidate servers, and the prompt parts to look up in their prefix caches. */
export interface ListCandidatesOptions {
  service: string;
  model?: string;
  adapter?: string;
  excluded?: ReadonlySet<string>;
  /** Only servers of this software version; of none where it is bound to one that is not known. */
  boundVersion?: BoundVersion;
  sharedParts?: readonly SharedPromptPart[];
  /** Whether the caller accepts pauses up to a limit only; false by default. */
  hasPauseTarget?: boolean;
}
