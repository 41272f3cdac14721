import type { Bundle } from '../../bundle/types.js';
import type { Ledger } from '../../ledger/types.js';
import { addMissingReplicas, completeReplicas, listUnavailableFirst } from '../_lib/addReplicas.js';
import { createLedgerDraft } from '../_lib/createLedgerDraft.js';
import { evictObsoleteItems } from '../_lib/evictReplicas.js';
import type { PlacementEngine, ReplicaTargets } from '../types.js';

/** Planned ledger and its changes. */
export interface PlacementPlan {
  /** The ledger to write; the given ledger object when nothing changes. */
  ledger: Ledger;
  /** One line per change for the audit trail, such as `reserve moisture@v2 on engine-3`. */
  changes: string[];
}

/**
 * Plans the next changes towards a bundle: reserves missing adapters and replicas, and marks
 * replaced items as leaving. Changes only what has to move and always keeps a routable replica of
 * each model.
 */
export function planPlacement(
  bundle: Bundle,
  ledger: Ledger,
  engines: readonly PlacementEngine[],
  targets: ReplicaTargets,
): PlacementPlan {
  const draft = createLedgerDraft(bundle, ledger, engines);
  evictObsoleteItems(
    draft,
    engines.map(({ id }) => id),
    targets,
  );
  const models = listUnavailableFirst(draft);
  for (const model of models) completeReplicas(draft, model);
  for (const model of models) addMissingReplicas(draft, model, model.replicas, targets);
  for (const model of models)
    addMissingReplicas(draft, model, targets[model.name] ?? model.replicas, targets);
  return draft.build();
}
