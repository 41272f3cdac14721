import type { LedgerEngine } from '../types.js';

/** Adds up the bytes of an engine that are resident, reserved or leaving. */
export function computeCommittedBytes(engine: LedgerEngine): number {
  return engine.items.reduce((sum, { bytes }) => sum + bytes, 0);
}

/** Computes the bytes of an engine that may be reserved. */
export function computeFreeBytes(engine: LedgerEngine): number {
  return engine.memoryBytes - computeCommittedBytes(engine);
}
