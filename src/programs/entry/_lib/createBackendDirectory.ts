import type { ControlStateSnapshot } from '../../../coordination/createControlState/index.js';
import type { Bundle } from '../../../decisions/bundle/types.js';
import {
  listCandidates,
  type ResidentReplica,
} from '../../../decisions/routing/listCandidates/index.js';
import type { Candidate } from '../../../decisions/routing/types.js';
import type { Clock } from '../../../ports/clock.js';
import { HostRole, type ListedHost } from '../../../ports/hostList.js';

/** Maximum requests in flight on one server of a plain service. */
const PLAIN_SERVER_WINDOW = 64;

/** Time for which a server's own notice that it drains counts, until the host list shows it as leaving. */
const DRAIN_NOTICE_RETENTION_MS = 30_000;

/** Builds the dispatch target of a plain service. */
export function buildPlainTarget(service: string): string {
  return `plain:${service}`;
}

/** Backend servers by id and by what they serve, from the host list, the ledger and drain notices of servers. */
export interface BackendDirectory {
  setHosts: (hosts: readonly ListedHost[]) => void;
  setControlState: (snapshot: ControlStateSnapshot) => void;
  listHosts: () => readonly ListedHost[];
  /**
   * Lists the servers that can serve a model, adapter or plain service. Their requests in flight are
   * those of the peers, without those of this host.
   */
  listCandidates: (target: string, peerInFlight: ReadonlyMap<string, number>) => Candidate[];
  /** Origin of a backend server, such as `http://10.0.0.7:8000`. */
  getOrigin: (id: string) => string | undefined;
  /** Records the notice of a server that it drains and refuses new requests. */
  markDraining: (id: string) => void;
}

/** Creates an empty directory of backend servers. */
export function createBackendDirectory(clock: Clock): BackendDirectory {
  let hosts = new Map<string, ListedHost>();
  let snapshot: ControlStateSnapshot | undefined;
  const drainNoticesAtMs = new Map<string, number>();
  const replicasByTarget = new Map<string, ResidentReplica[]>();

  const isDraining = (id: string): boolean => {
    const noticeAtMs = drainNoticesAtMs.get(id);
    if (noticeAtMs === undefined) return false;
    if (clock.monotonicMs() - noticeAtMs < DRAIN_NOTICE_RETENTION_MS) return true;
    drainNoticesAtMs.delete(id);
    return false;
  };

  const findWindow = (bundle: Bundle, target: string): number => {
    const model = bundle.adapters.find(({ name }) => name === target)?.model ?? target;
    const service = bundle.models.find(({ name }) => name === model)?.service;
    return bundle.services.find(({ name }) => name === service)?.window ?? 1;
  };

  const listPlainCandidates = (
    service: string,
    peerInFlight: ReadonlyMap<string, number>,
  ): Candidate[] =>
    [...hosts.values()]
      .filter(
        ({ role, service: hostService, leaving }) =>
          role === HostRole.plain && hostService === service && !leaving,
      )
      .filter(({ id }) => !isDraining(id))
      .map(({ id }) => ({ id, inFlight: peerInFlight.get(id) ?? 0, window: PLAIN_SERVER_WINDOW }));

  const listReplicas = (bundle: Bundle, target: string): ResidentReplica[] => {
    const cached = replicasByTarget.get(target);
    if (cached !== undefined) return cached;
    const listed =
      snapshot === undefined ? [] : listCandidates(bundle, snapshot.ledger, hosts, target);
    replicasByTarget.set(target, listed);
    return listed;
  };

  return {
    setHosts: (listed) => {
      hosts = new Map(listed.map((host) => [host.id, host]));
      replicasByTarget.clear();
    },
    setControlState: (next) => {
      const isSame =
        snapshot?.ledger === next.ledger && snapshot.accepted?.bundle === next.accepted?.bundle;
      snapshot = next;
      if (!isSame) replicasByTarget.clear();
    },
    listHosts: () => [...hosts.values()],
    listCandidates: (target, peerInFlight) => {
      const plainPrefix = buildPlainTarget('');
      if (target.startsWith(plainPrefix))
        return listPlainCandidates(target.slice(plainPrefix.length), peerInFlight);
      const bundle = snapshot?.accepted?.bundle;
      if (bundle === undefined) return [];
      const window = findWindow(bundle, target);
      return listReplicas(bundle, target)
        .filter(({ engine }) => !isDraining(engine))
        .map(({ engine, engineModel }) => ({
          id: engine,
          inFlight: peerInFlight.get(engine) ?? 0,
          window,
          engineModel,
        }));
    },
    getOrigin: (id) => {
      const host = hosts.get(id);
      return host === undefined ? undefined : `http://${host.address}:${host.port}`;
    },
    markDraining: (id) => {
      drainNoticesAtMs.set(id, clock.monotonicMs());
    },
  };
}
