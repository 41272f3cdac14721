import type { Bundle } from '../../bundle/types.js';
import { createLedgerEngine } from '../../ledger/createLedgerEngine/index.js';
import { applyReport } from '../../ledger/applyReport/index.js';
import type { Ledger, LedgerEngine, LedgerItem } from '../../ledger/types.js';
import { planPlacement } from '../planPlacement/index.js';
import type { PlacementEngine, ReplicaTargets } from '../types.js';
import type { EngineReport } from '../../../ports/engine.js';
import type { ListedHost } from '../../../ports/hostList.js';

/** Records that the ledger's audit trail keeps. */
const MAX_AUDIT_RECORDS = 100;

/** Input of one placement round. */
export interface PlacementRoundInput {
  bundle: Bundle;
  engines: readonly ListedHost[];
  reports: ReadonlyMap<string, EngineReport>;
  targets: ReplicaTargets;
  isReachable: (engine: string) => boolean;
  /** Tells whether the entry of an engine that is no longer listed can be removed. */
  isRemovable: (engine: string) => boolean;
  /** Tells whether no load order for the item can still take effect after the report. */
  hasNoPendingLoad: (engine: ListedHost, item: LedgerItem, report: EngineReport) => boolean;
  host: string;
  atMs: number;
}

function updateEngine(
  input: PlacementRoundInput,
  listed: ListedHost,
  entry: LedgerEngine | undefined,
  fencingNumber: number,
): LedgerEngine | undefined {
  const report = input.reports.get(listed.id);
  if (report === undefined) return entry;
  const memoryBytes = listed.memoryBytes ?? report.memoryBytes;
  const service = listed.service ?? '';
  if (entry === undefined)
    return createLedgerEngine(input.bundle, report, service, memoryBytes, fencingNumber);
  return applyReport(entry, report, {
    hasNoPendingLoad: (item, appliedReport) => input.hasNoPendingLoad(listed, item, appliedReport),
    fencingNumber,
  });
}

function applyReports(input: PlacementRoundInput, ledger: Ledger): Ledger {
  const fencingNumber = ledger.fencingNumber + 1;
  const engines: Record<string, LedgerEngine> = {};
  const listed = new Set(input.engines.map(({ id }) => id));
  let isChanged = false;
  for (const [id, entry] of Object.entries(ledger.engines)) {
    if (listed.has(id)) continue;
    if (input.isRemovable(id)) isChanged = true;
    else engines[id] = entry;
  }
  for (const host of input.engines) {
    const before = ledger.engines[host.id];
    const after = updateEngine(input, host, before, fencingNumber);
    if (after !== undefined) engines[host.id] = after;
    if (after !== before) isChanged = true;
  }
  return isChanged ? { ...ledger, fencingNumber, engines } : ledger;
}

/**
 * Applies reports and plans the next changes; returns the given ledger object when nothing changes.
 */
export function updateLedger(input: PlacementRoundInput, ledger: Ledger): Ledger {
  const reported = applyReports(input, ledger);
  const engines = input.engines.map(({ id, service = '', leaving }): PlacementEngine => ({
    id,
    service,
    leaving: leaving || !input.isReachable(id),
  }));
  const plan = planPlacement(input.bundle, reported, engines, input.targets);
  if (plan.changes.length === 0) return reported;
  const { host, atMs } = input;
  const records = plan.changes.map((change) => ({ atMs, host, change }));
  return { ...plan.ledger, audit: [...ledger.audit, ...records].slice(-MAX_AUDIT_RECORDS) };
}
