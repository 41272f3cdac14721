/** Role of a listed host; a plain host is a backend server without models. */
export const HostRole = { entry: 'entry', engine: 'engine', plain: 'plain' } as const;
export type HostRole = (typeof HostRole)[keyof typeof HostRole];

/** A host in the list of the platform, which lags behind the actual state. */
export interface ListedHost {
  id: string;
  role: HostRole;
  /** IP address. */
  address: string;
  /** Port for requests; the peer port of an entry host. */
  port: number;
  dataCentre: string;
  /** Model service or plain service that a backend server belongs to. */
  service?: string;
  leaving: boolean;
  /** Accelerator memory of an engine in bytes. */
  memoryBytes?: number;
  /** Whether an engine refuses orders with an old fencing number. */
  checksFencing?: boolean;
}

/** The platform's list of live and draining hosts; `read` rejects when the list is unavailable. */
export interface HostList {
  read: () => Promise<ListedHost[]>;
}
