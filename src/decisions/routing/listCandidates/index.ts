import { ItemKind } from '../../../ports/engine.js';
import type { ListedHost } from '../../../ports/hostList.js';
import { ItemState, type Ledger, type LedgerEngine } from '../../ledger/types.js';
import type { Bundle } from '../../bundle/types.js';

/** An engine on which a model or adapter is resident, and the id of that item on the engine. */
export interface ResidentReplica {
  engine: string;
  /** `name@version`. */
  engineModel: string;
}

function findResidentVersion(
  engine: LedgerEngine,
  kind: ItemKind,
  name: string,
  preferred: string,
): string | undefined {
  const versions = engine.items
    .filter((item) => item.kind === kind && item.name === name && item.state === ItemState.resident)
    .map(({ version }) => version);
  return versions.includes(preferred) ? preferred : versions[0];
}

/**
 * Finds the id under which an engine serves a model or adapter of the bundle. Returns undefined when
 * it is not resident there.
 */
export function findEngineModel(
  bundle: Bundle,
  engine: LedgerEngine,
  name: string,
): string | undefined {
  const adapter = bundle.adapters.find((item) => item.name === name);
  const model = bundle.models.find((item) => item.name === (adapter?.model ?? name));
  if (model === undefined) return undefined;
  const modelVersion = findResidentVersion(engine, ItemKind.model, model.name, model.version);
  if (modelVersion === undefined) return undefined;
  if (adapter === undefined) return `${name}@${modelVersion}`;
  const version = findResidentVersion(engine, ItemKind.adapter, name, adapter.version);
  return version === undefined ? undefined : `${name}@${version}`;
}

/**
 * Lists the engines on which a model or adapter is resident and that are not leaving. Other versions
 * than the one in the bundle are listed only if no engine has that one.
 */
export function listCandidates(
  bundle: Bundle,
  ledger: Ledger,
  hosts: ReadonlyMap<string, ListedHost>,
  name: string,
): ResidentReplica[] {
  const bundleItem = [...bundle.models, ...bundle.adapters].find((item) => item.name === name);
  if (bundleItem === undefined) return [];
  const currentId = `${name}@${bundleItem.version}`;
  const replicas = Object.entries(ledger.engines).flatMap(([engine, entry]): ResidentReplica[] => {
    const host = hosts.get(engine);
    if (host === undefined || host.leaving) return [];
    const engineModel = findEngineModel(bundle, entry, name);
    return engineModel === undefined ? [] : [{ engine, engineModel }];
  });
  const isCurrent = ({ engineModel }: ResidentReplica): boolean => engineModel === currentId;
  return replicas.some(isCurrent) ? replicas.filter(isCurrent) : replicas;
}
