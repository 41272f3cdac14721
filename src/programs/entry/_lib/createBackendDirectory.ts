import type { ControlStateSnapshot } from '../../../coordination/createControlState/index.js';
import type { Bundle } from '../../../decisions/bundle/types.js';
import {
  listCandidates,
  type ResidentReplica,
} from '../../../decisions/routing/listCandidates/index.js';
import type { Candidate } from '../../../decisions/routing/types.js';
import type { Clock } from '../../../ports/clock.js';
import { HostRole, type ListedHost } from '../../../ports/hostList.js';

/** Requests that a plain service's server takes at once. */
const PLAIN_WINDOW = 64;

/** How long a backend server's own word that it is leaving counts before the list shows it. */
const LEAVING_WORD_MS = 30_000;

/** Marks a dispatch target as a plain service. */
export function buildPlainTarget(service: string): string {
  return `plain:${service}`;
}

/** Who runs what, from the host list, the ledger and the backend servers' own words. */
export interface BackendDirectory {
  setHosts: (hosts: readonly ListedHost[]) => void;
  setControlState: (snapshot: ControlStateSnapshot) => void;
  listHosts: () => readonly ListedHost[];
  /** Lists the servers of a model, adapter or plain service without the load of this host. */
  listCandidates: (target: string, loads: ReadonlyMap<string, number>) => Candidate[];
  /** Origin of a backend server, such as `http://10.0.0.7:8000`. */
  getOrigin: (id: string) => string | undefined;
  /** Records that a server refuses new work of its own accord. */
  markDraining: (id: string) => void;
}

/** Creates a directory that knows no hosts yet. */
export function createBackendDirectory(clock: Clock): BackendDirectory {
  let hosts = new Map<string, ListedHost>();
  let snapshot: ControlStateSnapshot | undefined;
  const leavingSince = new Map<string, number>();
  const copies = new Map<string, ResidentReplica[]>();

  const isLeaving = (id: string): boolean => {
    const since = leavingSince.get(id);
    if (since === undefined) return false;
    if (clock.monotonicMs() - since < LEAVING_WORD_MS) return true;
    leavingSince.delete(id);
    return false;
  };

  const findWindow = (bundle: Bundle, target: string): number => {
    const model = bundle.adapters.find(({ name }) => name === target)?.model ?? target;
    const service = bundle.models.find(({ name }) => name === model)?.service;
    return bundle.services.find(({ name }) => name === service)?.window ?? 1;
  };

  const listPlain = (service: string, loads: ReadonlyMap<string, number>): Candidate[] =>
    [...hosts.values()]
      .filter(
        ({ role, service: own, leaving }) => role === HostRole.plain && own === service && !leaving,
      )
      .filter(({ id }) => !isLeaving(id))
      .map(({ id }) => ({ id, inFlight: loads.get(id) ?? 0, window: PLAIN_WINDOW }));

  const listCopies = (bundle: Bundle, target: string): ResidentReplica[] => {
    const known = copies.get(target);
    if (known !== undefined) return known;
    const listed =
      snapshot === undefined ? [] : listCandidates(bundle, snapshot.ledger, hosts, target);
    copies.set(target, listed);
    return listed;
  };

  return {
    setHosts: (listed) => {
      hosts = new Map(listed.map((host) => [host.id, host]));
      copies.clear();
    },
    setControlState: (next) => {
      const isSame =
        snapshot?.ledger === next.ledger && snapshot.accepted?.bundle === next.accepted?.bundle;
      snapshot = next;
      if (!isSame) copies.clear();
    },
    listHosts: () => [...hosts.values()],
    listCandidates: (target, loads) => {
      const plain = buildPlainTarget('');
      if (target.startsWith(plain)) return listPlain(target.slice(plain.length), loads);
      const bundle = snapshot?.accepted?.bundle;
      if (bundle === undefined) return [];
      const window = findWindow(bundle, target);
      return listCopies(bundle, target)
        .filter(({ engine }) => !isLeaving(engine))
        .map(({ engine, engineModel }) => ({
          id: engine,
          inFlight: loads.get(engine) ?? 0,
          window,
          engineModel,
        }));
    },
    getOrigin: (id) => {
      const host = hosts.get(id);
      return host === undefined ? undefined : `http://${host.address}:${host.port}`;
    },
    markDraining: (id) => {
      leavingSince.set(id, clock.monotonicMs());
    },
  };
}
