import type { LedgerEngine } from '../types.js';

/** Computes the bytes of an engine that are reserved, resident or leaving. */
export function computeCommittedBytes(engine: LedgerEngine): number {
  return engine.items.reduce((sum, { bytes }) => sum + bytes, 0);
}

/** Computes the bytes of an engine that can still be reserved. */
export function computeFreeBytes(engine: LedgerEngine): number {
  return engine.memoryBytes - computeCommittedBytes(engine);
}
