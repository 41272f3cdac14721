import type { Bundle } from '../../bundle/types.js';
import type { Ledger } from '../../ledger/types.js';
import { addMissingCopies, completeCopies, listByUrgency } from '../_lib/addCopies.js';
import { createDraft } from '../_lib/createDraft.js';
import { leaveSpentItems } from '../_lib/leaveCopies.js';
import type { PlacementEngine, Targets } from '../types.js';

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
  targets: Targets,
): PlacementPlan {
  const draft = createDraft(bundle, ledger, engines);
  leaveSpentItems(
    draft,
    engines.map(({ id }) => id),
    targets,
  );
  const models = listByUrgency(draft);
  for (const model of models) completeCopies(draft, model);
  for (const model of models) addMissingCopies(draft, model, model.replicas, targets);
  for (const model of models)
    addMissingCopies(draft, model, targets[model.name] ?? model.replicas, targets);
  return draft.finish();
}
