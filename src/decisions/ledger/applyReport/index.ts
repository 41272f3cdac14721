import { ReportedState, type EngineReport, type ReportedItem } from '../../../ports/engine.js';
import { isSameItem } from '../findItem/index.js';
import { ItemState, type LedgerEngine, type LedgerItem } from '../types.js';

/** What is known beside a report. */
export interface ApplyReportOptions {
  /**
   * Tells whether no load order for the item can still take effect at the report's moment:
   * the report is later than an unload that the engine took, and earlier loads are fenced off or too old.
   */
  hasNoPendingLoad: (item: LedgerItem, report: EngineReport) => boolean;
  /** Fencing number for items whose state changes. */
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
 * Applies an engine's report to the ledger. Nothing is freed but a leaving item that the report
 * proves gone; an engine that restarted keeps all reservations and is to be loaded again.
 */
export function applyReport(
  engine: LedgerEngine,
  report: EngineReport,
  options: ApplyReportOptions,
): LedgerEngine {
  const known =
    engine.incarnation === report.incarnation
      ? engine
      : setIncarnation(engine, report.incarnation, options.fencingNumber);
  const updated = known.items.map((item) => updateItem(item, report, options));
  const unplanned = report.items
    .filter((reported) => !known.items.some((item) => isSameItem(item, reported)))
    .map((reported) => toUnplannedItem(reported, options.fencingNumber));
  const items = [...updated.filter((item) => item !== undefined), ...unplanned];
  const isUnchanged =
    known === engine &&
    items.length === engine.items.length &&
    items.every((item, index) => item === engine.items[index]);
  return isUnchanged ? engine : { ...known, items };
}
