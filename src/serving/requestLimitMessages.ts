import type { RequestLimit } from '../decisions/limits/types.js';
import type { SentRequestLimit } from './fleetMessages.js';

/** Encodes request limits, by incarnation, with times relative to now. */
export function encodeRequestLimits(
  limits: ReadonlyMap<string, RequestLimit>,
  nowMs: number,
): SentRequestLimit[] {
  return [...limits].map(([server, { perSecond, sentAtMs, receivedAtMs }]) => ({
    server,
    perSecond: perSecond === Infinity ? null : perSecond,
    sentAgeMs: Math.round(nowMs - sentAtMs),
    receivedAgeMs: Math.round(nowMs - receivedAtMs),
  }));
}

/** Decodes request limits that have just arrived. */
export function decodeRequestLimits(
  sent: readonly SentRequestLimit[],
  nowMs: number,
): Map<string, RequestLimit> {
  return new Map(
    sent.map(({ server, perSecond, sentAgeMs, receivedAgeMs }) => [
      server,
      {
        perSecond: perSecond ?? Infinity,
        sentAtMs: nowMs - sentAgeMs,
        receivedAtMs: nowMs - receivedAgeMs,
      },
    ]),
  );
}
