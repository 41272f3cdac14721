import { ReportedState, type EngineReport, type ReportedItem } from '../../../ports/engine.js';
import { isSameItem } from '../findItem/index.js';
import { ItemState, type LedgerEngine, type LedgerItem } from '../types.js';

/** Options of applyReport. */
export interface ApplyReportOptions {
  /**
   * Tells whether no load order for the item can still take effect after the report: the report is
   * later than an unload that the engine accepted, and the engine refuses earlier loads for their
   * fencing token, or they are too old to still reach it.
   */
  hasNoPendingLoad: (item: LedgerItem, report: EngineReport) => boolean;
  /** Fencing token for items whose state changes. */
  fencingNumber: number;
}

function updateItem(
  item: LedgerItem,
  report: EngineReport,
  options: ApplyReportOptions,
): LedgerItem | undefined {
  const reported = report.items.find((candidate) => isSameItem(candidate, item));
  if (item.state === ItemState.leaving)
    return reported === undefined && options.hasNoPendingLoad(item, report) ? undefined : item;
  const isResident = reported?.state === ReportedState.resident;
  if (isResident === (item.state === ItemState.resident)) return item;
  if (item.state === ItemState.resident)
    return { ...item, state: ItemState.reserved, fencingNumber: options.fencingNumber };
  return { ...item, state: ItemState.resident };
}

function toUnplannedItem(reported: ReportedItem, fencingNumber: number): LedgerItem {
  const { kind, name, version, bytes } = reported;
  return { kind, name, version, model: name, bytes, state: ItemState.leaving, fencingNumber };
}

function setIncarnation(
  engine: LedgerEngine,
  incarnation: string,
  fencingNumber: number,
): LedgerEngine {
  const items = engine.items.map((item) =>
    item.state === ItemState.resident
      ? { ...item, state: ItemState.reserved, fencingNumber }
      : item,
  );
  return { ...engine, incarnation, items };
}

/**
 * Applies an engine's report to its ledger entry. Memory is freed only for leaving items that the
 * report shows to be unloaded. A restarted engine (new incarnation) keeps all reservations, and its
 * resident items become reserved again so that they are loaded again. Returns the given entry when
 * nothing changes.
 */
export function applyReport(
  engine: LedgerEngine,
  report: EngineReport,
  options: ApplyReportOptions,
): LedgerEngine {
  const current =
    engine.incarnation === report.incarnation
      ? engine
      : setIncarnation(engine, report.incarnation, options.fencingNumber);
  const updated = current.items.map((item) => updateItem(item, report, options));
  const unplanned = report.items
    .filter((reported) => !current.items.some((item) => isSameItem(item, reported)))
    .map((reported) => toUnplannedItem(reported, options.fencingNumber));
  const items = [...updated.filter((item) => item !== undefined), ...unplanned];
  const isUnchanged =
    current === engine &&
    items.length === engine.items.length &&
    items.every((item, index) => item === engine.items[index]);
  return isUnchanged ? engine : { ...current, items };
}
