import type { ToldColdTime } from '../decisions/limits/types.js';
import type { SentColdTime } from './fleetMessages.js';

/** Encodes cold times, by incarnation, with times relative to now. */
export function encodeColdTimes(
  times: ReadonlyMap<string, ToldColdTime>,
  nowMs: number,
): SentColdTime[] {
  return [...times].map(([server, { warmAtMs, sentAtMs, receivedAtMs }]) => ({
    server,
    remainingMs: Math.max(0, Math.round(warmAtMs - nowMs)),
    sentAgeMs: Math.round(nowMs - sentAtMs),
    receivedAgeMs: Math.round(nowMs - receivedAtMs),
  }));
}

/** Decodes cold times that have just arrived. */
export function decodeColdTimes(
  sent: readonly SentColdTime[],
  nowMs: number,
): Map<string, ToldColdTime> {
  return new Map(
    sent.map(({ server, remainingMs, sentAgeMs, receivedAgeMs }) => [
      server,
      {
        warmAtMs: nowMs + remainingMs,
        sentAtMs: nowMs - sentAgeMs,
        receivedAtMs: nowMs - receivedAgeMs,
      },
    ]),
  );
}
