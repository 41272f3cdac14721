import type { Clock } from '../../../ports/clock.js';
import type { ServerPaces } from '../../createServerPaces/index.js';
import type { RequestLoad, TrackedRequest } from '../types.js';
import { recordProcessed, type Entry } from './entry.js';
import { computeOrdinaryDelay, recordFirstByteDelay, recordOutcome } from './serverHealth.js';

/** What the tracking of a request depends on. */
export interface TrackOptions {
  clock: Clock;
  paces: Pick<ServerPaces, 'recordFirstByteDelay'>;
  /** Whether the server is cold as the request is sent. */
  isCold: boolean;
  /** Ratio of the measured to the estimated time to first byte as the request is sent. */
  latencyRatio: number;
  /** Called when the outcome makes this host avoid the server for a while. */
  onBackoff: (nowMs: number) => void;
}

/** Counts a request towards the load of its server, and records what its response tells of the server. */
export function addTrackedRequest(
  entry: Entry,
  { backlogTokens, reservedTokens, isUrgent, delayMs, sharedParts }: RequestLoad,
  options: TrackOptions,
): TrackedRequest {
  const { clock, paces, isCold, latencyRatio, onBackoff } = options;
  const { load, health } = entry;
  const startedAtMs = clock.monotonicMs();
  if (load.active === 0) health.busySinceMs = startedAtMs;
  load.active += 1;
  load.backlogTokens += backlogTokens;
  if (isUrgent) load.urgentBacklogTokens += backlogTokens;
  load.reservedTokens += reservedTokens;
  let isInBacklog = true;
  const leaveBacklog = (): void => {
    if (!isInBacklog) return;
    isInBacklog = false;
    load.backlogTokens -= backlogTokens;
    if (isUrgent) load.urgentBacklogTokens -= backlogTokens;
  };
  return {
    recordBytes: () => {
      health.lastBytesAtMs = clock.monotonicMs();
    },
    recordFirstBytes: () => {
      leaveBacklog();
      const nowMs = clock.monotonicMs();
      recordProcessed(entry, sharedParts, nowMs);
      const elapsedMs = nowMs - startedAtMs;
      // What a cold server takes says nothing of its speed once it is warm.
      if (isCold) {
        health.lastBytesAtMs = nowMs;
        return;
      }
      recordFirstByteDelay(health, elapsedMs, delayMs, nowMs, latencyRatio);
      paces.recordFirstByteDelay(
        entry.server.id,
        elapsedMs,
        computeOrdinaryDelay(delayMs, latencyRatio),
      );
    },
    release: (outcome) => {
      const nowMs = clock.monotonicMs();
      leaveBacklog();
      load.active -= 1;
      load.reservedTokens -= reservedTokens;
      if (recordOutcome(health, outcome, nowMs - startedAtMs, nowMs)) onBackoff(nowMs);
    },
  };
}
