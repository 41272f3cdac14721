import type { RequestLimit, ToldColdTime } from '../../decisions/limits/types.js';
import type { NoticeListener } from '../../ports/serverNotices.js';
import type { BackendServer, ServingConfiguration } from '../../ports/serving.js';
import type { HostContact } from './_lib/createColdStates.js';

/** What backend servers say of themselves, by incarnation; it goes before their registrations. */
export interface ServerNotices {
  /** Records what a server said of itself in a response to the given request. */
  record: NoticeListener;
  /** Milliseconds for which a server wants no requests of this host; 0 when it takes some now. */
  getPauseMs: (incarnation: string) => number;
  /** Sets the services, whose servers may start cold and take few requests until they are warm. */
  setConfiguration: (configuration: ServingConfiguration) => void;
  /**
   * Requests per second that a server takes from all hosts together: the lower of its own limit and
   * that of a server that is still cold in `inMs`, 0 by default. Infinity without a limit.
   */
  getRequestLimit: (incarnation: string, inMs?: number) => number;
  /**
   * Sets how this host learns of registrations: without a leader, and with an old list of servers, it
   * cannot tell which of them have turned cold, and takes the limit of cold ones for all.
   */
  setContact: (contact: HostContact) => void;
  /**
   * Records that a server broke or refused a connection. Until this host's list is newer, another
   * process may have started in its place, which is cold.
   */
  recordDisconnection: (incarnation: string) => void;
  /**
   * Records that evacuations of data centres were revoked. Until this host's list is newer, their servers
   * count as cold: they may have been idle for long.
   */
  recordRevocations: (dataCentres: readonly string[]) => void;
  /** Records limits, by incarnation, as another host has learned of them. */
  recordLimits: (limits: ReadonlyMap<string, RequestLimit>) => void;
  /** Returns the limits, by incarnation, also those that have ended, until `applyTo` drops them. */
  getLimits: () => ReadonlyMap<string, RequestLimit>;
  /** Returns the limits that responses to this host have changed since the last call. */
  takeChangedLimits: () => Map<string, RequestLimit>;
  /** Lets the next calls return all limits and cold times, as a new leader knows none. */
  resetTaken: () => void;
  /** Whether a server takes fewer requests for being cold, or perhaps being so. */
  isCold: (incarnation: string) => boolean;
  /** Milliseconds until a server is warm; 0 when it is, or its service has no cold starts. */
  getColdMs: (incarnation: string) => number;
  /** The same, longer by a random time of this host, so that hosts return to a server one by one. */
  getShiftedColdMs: (incarnation: string) => number;
  /** Milliseconds since the news of a server's cold time arrived. */
  getColdAgeMs: (incarnation: string) => number;
  countCold: () => number;
  /** Records cold times, by incarnation, as responses have told another host. */
  recordColdTimes: (times: ReadonlyMap<string, ToldColdTime>) => void;
  /** Returns the cold times that responses to this host have changed since the last call. */
  takeChangedColdTimes: () => Map<string, ToldColdTime>;
  /** Records the incarnations of servers that leave, as another host has learned. */
  recordLeaving: (incarnations: readonly string[]) => void;
  /**
   * Returns the servers as registered, with each of them leaving that has ever said so, or was ever
   * registered so: a leave ends with the incarnation. Those that are cold have `warmAtMs`.
   */
  applyTo: (servers: ReadonlyMap<string, BackendServer>) => ReadonlyMap<string, BackendServer>;
  /** Lists the incarnations that leave although the servers last given to `applyTo` say otherwise. */
  listUnregistered: () => string[];
  /** Sets the function that is called when a further server leaves, or turns cold or warm. */
  onChange: (listener: () => void) => void;
}
