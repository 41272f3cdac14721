import { ReportedState, type EngineReport, type ReportedItem } from '../../../ports/engine.js';
import type { Bundle } from '../../bundle/types.js';
import { ItemState, type LedgerEngine, type LedgerItem } from '../types.js';

function findModelName(bundle: Bundle, { name, version }: ReportedItem): string | undefined {
  const model = bundle.models.find((item) => item.name === name && item.version === version);
  const adapter = bundle.adapters.find((item) => item.name === name && item.version === version);
  return model?.name ?? adapter?.model;
}

/**
 * Creates the ledger entry of an engine that the ledger does not have yet. Resident items that the
 * bundle lists are kept; all others are marked as leaving.
 */
export function createLedgerEngine(
  bundle: Bundle,
  report: EngineReport,
  service: string,
  memoryBytes: number,
  fencingNumber: number,
): LedgerEngine {
  const items = report.items.map((reported): LedgerItem => {
    const { kind, name, version, bytes } = reported;
    const model = findModelName(bundle, reported);
    const isKept = model !== undefined && reported.state === ReportedState.resident;
    const state = isKept ? ItemState.resident : ItemState.leaving;
    return { kind, name, version, model: model ?? name, bytes, state, fencingNumber };
  });
  return { service, incarnation: report.incarnation, memoryBytes, items };
}
