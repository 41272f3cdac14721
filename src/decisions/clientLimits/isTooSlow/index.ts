import type { ClientLimits } from '../types.js';

/** Bytes of a body at the beginning of a span, and now. */
export interface BodySpan {
  startedAtMs: number;
  startBytes: number;
  receivedBytes: number;
}

/**
 * Tells whether a body made too little progress over a span. Addresses bodies that stop short of their
 * end, or go on byte by byte: a single byte does not start the span anew.
 */
export function isTooSlow(
  { startedAtMs, startBytes, receivedBytes }: BodySpan,
  { bodyBytesPerSecond, bodySpanMs }: Pick<ClientLimits, 'bodyBytesPerSecond' | 'bodySpanMs'>,
  nowMs: number,
): boolean {
  const elapsedMs = nowMs - startedAtMs;
  if (elapsedMs < bodySpanMs) return false;
  return receivedBytes - startBytes < (bodyBytesPerSecond * elapsedMs) / 1000;
}
