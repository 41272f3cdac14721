/** What a listed host does. */
export const HostRole = { entry: 'entry', engine: 'engine', plain: 'plain' } as const;
export type HostRole = (typeof HostRole)[keyof typeof HostRole];

/** One host of the platform's lagging list. */
export interface ListedHost {
  id: string;
  role: HostRole;
  /** IP number. */
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

/** The platform's list of live and leaving hosts; rejects when the list can't be read. */
export interface HostList {
  read: () => Promise<ListedHost[]>;
}
