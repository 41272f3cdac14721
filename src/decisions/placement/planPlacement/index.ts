import type { Bundle } from '../../bundle/types.js';
import type { Ledger } from '../../ledger/types.js';
import { addMissingReplicas, completeReplicas, listUnavailableFirst } from '../_lib/addReplicas.js';
import { createLedgerDraft } from '../_lib/createLedgerDraft.js';
import { evictObsoleteItems } from '../_lib/evictReplicas.js';
import type { PlacementEngine, ReplicaTargets } from '../types.js';

/** A plan: the ledger to be written, and what changed in it. */
export interface PlacementPlan {
  /** The very ledger that was given when nothing changes. */
  ledger: Ledger;
  /** One line a change, such as `reserve moisture@v2 on engine-3`. */
  changes: string[];
}

/**
 * Plans the next changes towards a bundle: adapters and copies that are missing are reserved, and what
 * its successors replace is marked as leaving. Only what must move is touched, and some routable copy
 * of each model always stays.
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
