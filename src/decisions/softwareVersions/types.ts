/** Software versions of one service, from the two places that name them. */
export interface KnownVersions {
  /** Versions of the registered servers; undefined for those whose version is not known. */
  registered: ReadonlySet<string | undefined>;
  /** Versions in the store: those in service, and those that were lately. */
  recorded: ReadonlySet<string>;
}

/** A software version of a service. */
export interface ServiceVersion {
  service: string;
  version: string;
}

/** A software version that the store holds. */
export interface RecordedVersion extends ServiceVersion {
  /** Whether its last server is gone, so that it is dropped after a while. */
  isRetired: boolean;
  /** Whether it was written before the store was restored from a copy, which may lack another one. */
  isOutdated: boolean;
}

/** Changes of the software versions in the store. */
export interface VersionKeyPlan {
  write: ServiceVersion[];
  retire: ServiceVersion[];
}
