import type { Clock } from '../../ports/clock.js';
import type { FleetStore } from '../../ports/fleetStore.js';
import type { Log } from '../../ports/log.js';
import type { BackendServer, ServingRequest } from '../../ports/serving.js';
import type { ListAge } from '../createListAge/index.js';
import type { StoreOutage } from '../createStoreOutage/index.js';

/** What told which software version began a stream. */
export const VersionSource = {
  /** This host began the stream. */
  host: 'host',
  /** The record of the stream in the store. */
  record: 'record',
  /** The service has had no other version while the stream may have begun. */
  sole: 'sole',
  /** It is not known. */
  none: 'none',
} as const;
export type VersionSource = (typeof VersionSource)[keyof typeof VersionSource];

/** The software version that began a stream, with what this host knew, for the log. */
export interface StreamVersionFinding {
  /** Undefined where it is not known. */
  version?: string;
  source: VersionSource;
  /** Server and host that began the stream, where a record names them. */
  begunBy?: string;
  /** Versions of the registered servers, and of the store. */
  registeredVersions: string;
  recordedVersions: string;
  /** Milliseconds since the list of servers was known to be complete; Infinity before the first list. */
  listAgeMs: number;
  /** Whether the store answered. */
  isStoreRead: boolean;
}

/** Which software version began the streams that callers may resume. */
export interface StreamVersions {
  setServers: (servers: ReadonlyMap<string, BackendServer>) => void;
  /** Records which server, of which version if known, has brought the first event of a stream. */
  recordBegun: (request: ServingRequest, server: BackendServer) => void;
  /** Records the end of a stream; one that is not complete may still be resumed. */
  recordEnded: (request: ServingRequest, isComplete: boolean) => void;
  /** Finds the version that began the stream that a caller resumes. */
  findVersion: (request: ServingRequest) => Promise<StreamVersionFinding>;
  close: () => void;
}

/** Options of createStreamVersions. */
export interface StreamVersionsOptions {
  store: Pick<FleetStore, 'list' | 'transact' | 'grantLease' | 'getEpoch' | 'onEpochChange'>;
  clock: Clock;
  log: Log;
  random: () => number;
  /** Name of this host. */
  host: string;
  outage: Pick<StoreOutage, 'getFailingMs' | 'recordResponse'>;
  listAge: Pick<ListAge, 'getAgeMs'>;
  /** Mean time before the version keys are first read, in milliseconds; 2000 by default. */
  firstReadDelayMs?: number;
  /** Called for each batch with the number of records written, 0 where the store did not take it. */
  onRecordsWritten?: (records: number) => void;
}
