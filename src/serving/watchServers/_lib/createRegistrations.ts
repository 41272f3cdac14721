import { compareRegistrations } from '../../../decisions/serving/compareRegistrations/index.js';
import type { Log } from '../../../ports/log.js';
import type { BackendServer } from '../../../ports/serving.js';

/** Where a change of a registration comes from, for the log. */
export interface ChangeSource {
  source: 'store' | 'peer';
  /** Revision of the change; 0 where it is not known. */
  revision: number;
  /** Epoch of the store in which it was read. */
  epoch: number;
}

/** Registrations of servers as this host knows them, over restores of the store. */
export interface Registrations {
  servers: Map<string, BackendServer>;
  /** Sets a server, unless this host knows that the registration is one of an outdated copy. */
  set: (server: BackendServer, from: ChangeSource) => void;
  /** Removes a server; false if it is not known. */
  remove: (id: string, epoch: number) => boolean;
}

const MAX_LEFT_SERVERS = 1000; // far more than leave between a copy and its use

/** Keeps the software version of a server where a leader of an older version does not tell it. */
function addKnownVersion(server: BackendServer, known: BackendServer | undefined): BackendServer {
  if (server.softwareVersion !== undefined || known?.incarnation !== server.incarnation)
    return server;
  return { ...server, softwareVersion: known.softwareVersion };
}

/** Creates the registrations of a host that knows none. */
export function createRegistrations(log: Log): Registrations {
  const servers = new Map<string, BackendServer>();
  const epochs = new Map<string, number>();
  /** Servers that are gone, the last ones first to stay. */
  const left = new Map<string, { server: BackendServer; epoch: number }>();

  const isOutdated = (server: BackendServer, epoch: number): boolean => {
    const known = servers.get(server.id);
    if (known !== undefined)
      return epoch > (epochs.get(server.id) ?? 0) && compareRegistrations(server, known) < 0;
    const gone = left.get(server.id);
    return (
      gone !== undefined && epoch > gone.epoch && compareRegistrations(server, gone.server) <= 0
    );
  };

  return {
    servers,
    set: (server, { source, revision, epoch }) => {
      const { id, service, incarnation } = server;
      const known = servers.get(id);
      if (isOutdated(server, epoch)) {
        log.info(
          { server: id, revision, source, incarnation, isKnown: known !== undefined },
          'registration of an older copy of the store, ignored',
        );
        return;
      }
      if (known?.incarnation !== incarnation)
        log.info(
          { server: id, revision, source, service, incarnation },
          'server registered or restarted',
        );
      else if (server.isLeaving && !known.isLeaving)
        log.info({ server: id, revision, source }, 'server started draining');
      servers.set(id, addKnownVersion(server, known));
      epochs.set(id, epoch);
      left.delete(id);
    },
    remove: (id, epoch) => {
      const server = servers.get(id);
      if (server === undefined) return false;
      servers.delete(id);
      epochs.delete(id);
      left.delete(id);
      left.set(id, { server, epoch });
      const [oldest] = left.keys();
      if (left.size > MAX_LEFT_SERVERS && oldest !== undefined) left.delete(oldest);
      return true;
    },
  };
}
