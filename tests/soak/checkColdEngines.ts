import { COLD_PER_S } from './buildSoakConfiguration.js';
import { FaultKind, type SoakRecord, type Violation } from './types.js';

const LEARN_MS = 3000; // hosts know of a cold engine from then on
const HELD_MS = 500; // after the end of a fault on its link, what was held arrives at once
const WINDOW_MS = 1000;
const ALLOWED = 1.5 * COLD_PER_S + 5;

/** Finds when hosts must know of a cold engine: the time counts from the end of what was disturbed when it turned cold. */
function findKnownAtMs({ disturbances }: SoakRecord, fromMs: number): number {
  const ends = disturbances
    .filter(
      (each) =>
        !each.kind.startsWith('engine') &&
        each.fromMs < fromMs + LEARN_MS &&
        each.toMs > fromMs - LEARN_MS,
    )
    .map(({ toMs }) => toMs);
  return Math.max(fromMs, ...ends) + LEARN_MS;
}

/** Checks that all hosts together send a cold engine no more than it tolerates in any one second. */
export function checkColdEngines(record: SoakRecord): Violation[] {
  return record.coldSpans.flatMap(({ engine, fromMs, toMs }) => {
    const restarts = record.restarts.filter((item) => item.engine === engine && item.atMs > fromMs);
    const untilMs = Math.min(toMs, ...restarts.map(({ atMs }) => atMs));
    const knownAtMs = findKnownAtMs(record, fromMs);
    const isHeld = (atMs: number): boolean =>
      record.disturbances.some(
        (each) =>
          each.kind === FaultKind.engineLink &&
          each.engine === engine &&
          each.fromMs <= atMs &&
          each.toMs + HELD_MS >= atMs,
      );
    const refused = record.received.filter(({ isRefused }) => isRefused);
    const times = [...record.runs, ...refused]
      .filter((item) => item.engine === engine && item.atMs >= knownAtMs && item.atMs <= untilMs)
      .map(({ atMs }) => atMs)
      .filter((atMs) => !isHeld(atMs));
    const counts = times.map(
      (from) => times.filter((atMs) => atMs >= from && atMs < from + WINDOW_MS).length,
    );
    const worst = Math.max(0, ...counts);
    if (worst <= ALLOWED) return [];
    const detail = `${worst} of ${ALLOWED} at ${engine}, cold since ${Math.round(fromMs)} ms`;
    return [{ promise: 'cold engines', detail }];
  });
}
