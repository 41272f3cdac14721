import type { SoakRecord } from './types.js';

/** A host is taken to be in contact after this time without a disturbance. */
export const UNDISTURBED_MS = 3000;

/** Whether no fault disturbed a host, the store or all hosts between two moments and shortly before. */
export function isUndisturbed(
  record: SoakRecord,
  host: string,
  fromMs: number,
  toMs = fromMs,
): boolean {
  return !record.disturbances.some(
    ({ host: disturbedHost, kind, ...span }) =>
      (disturbedHost === undefined || disturbedHost === host) &&
      !kind.startsWith('engine') &&
      span.fromMs <= toMs &&
      span.toMs >= fromMs - UNDISTURBED_MS,
  );
}
