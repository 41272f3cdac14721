import { setTimeout as wait } from 'node:timers/promises';
import { addClaims } from '../../decisions/claims/addClaims/index.js';
import { finishClaims, releaseClaims } from '../../decisions/claims/finishClaims/index.js';
import { computePartition } from '../../decisions/claims/hashClaim/index.js';
import type {
  ClaimOutcome,
  ClaimPartition,
  ClaimRequest,
  FinishedClaim,
} from '../../decisions/claims/types.js';
import { formatError } from '../../errors/index.js';
import type { Clock } from '../../ports/clock.js';
import type { KeyValueEntry, KeyValueService } from '../../ports/keyValueService.js';
import type { Log } from '../../ports/log.js';
import { buildClaimsKey } from '../storageKeys.js';
import { updateValue } from '../updateValue/index.js';

/** Dependencies and options of a claim store. */
export interface ClaimStoreOptions {
  service: KeyValueService;
  clock: Clock;
  log: Log;
  /** Time for which changes of one partition are batched into one write; 3 ms by default. */
  batchWindowMs?: number;
}

/** Stores claims on idempotency keys, so that a non-idempotent request runs at most once. */
export interface ClaimStore {
  /** Claims the key of a request; rejects when the outcome is unknown, and the request must not run then. */
  claim: (request: ClaimRequest) => Promise<ClaimOutcome>;
  /** Records the end of a claimed request; if that fails, the claim stays running and retries are refused. */
  finish: (finished: FinishedClaim) => Promise<void>;
  /** Removes the claim of a request that has not run. */
  release: (hash: string, claimId: string) => Promise<void>;
  /** Resolves when no write is in progress. */
  waitUntilIdle: () => Promise<void>;
}

/** Changes of one partition that wait for the next batch. */
interface PendingChanges {
  claims: {
    request: ClaimRequest;
    resolve: (outcome: ClaimOutcome) => void;
    reject: (error: unknown) => void;
  }[];
  finished: { finished: FinishedClaim; done: () => void }[];
  released: { claimId: string; done: () => void }[];
}

function createPendingChanges(): PendingChanges {
  return { claims: [], finished: [], released: [] };
}

function isEmpty({ claims, finished, released }: PendingChanges): boolean {
  return claims.length + finished.length + released.length === 0;
}

/** Creates a claim store; a compare-and-swap in the key-value service decides who holds a claim. */
export function createClaimStore(options: ClaimStoreOptions): ClaimStore {
  const { service, clock, log, batchWindowMs = 3 } = options;
  const pendingByPartition = new Map<number, PendingChanges>();
  const activeFlushes = new Map<number, Promise<void>>();
  const cachedEntries = new Map<number, KeyValueEntry>();

  const writePartition = async (partition: number, pending: PendingChanges): Promise<void> => {
    const requests = pending.claims.map(({ request }) => request);
    const finished = pending.finished.map((item) => item.finished);
    const released = new Set(pending.released.map(({ claimId }) => claimId));
    const update = await updateValue<ClaimPartition, ReadonlyMap<string, ClaimOutcome>>(
      service,
      buildClaimsKey(partition),
      (stored = {}) => {
        const updated = releaseClaims(finishClaims(stored, finished), released);
        const added = addClaims(updated, requests, clock.wallMs());
        return { body: added.partition, result: added.outcomes };
      },
      { cachedEntry: cachedEntries.get(partition) },
    );
    if (update.entry !== undefined) cachedEntries.set(partition, update.entry);
    for (const { request, resolve } of pending.claims)
      resolve(update.result.get(request.claimId) ?? { kind: 'full' });
  };

  const flushPartition = async (partition: number): Promise<void> => {
    for (;;) {
      await wait(batchWindowMs);
      const pending = pendingByPartition.get(partition);
      if (pending === undefined || isEmpty(pending)) break;
      pendingByPartition.delete(partition);
      try {
        await writePartition(partition, pending);
      } catch (error) {
        log.warn({ partition, error: formatError(error) }, 'claim write failed');
        cachedEntries.delete(partition);
        for (const { reject } of pending.claims) reject(error);
      }
      for (const { done } of [...pending.finished, ...pending.released]) done();
    }
    activeFlushes.delete(partition);
  };

  const enqueueChange = (hash: string, add: (pending: PendingChanges) => void): void => {
    const partition = computePartition(hash);
    const pending = pendingByPartition.get(partition) ?? createPendingChanges();
    add(pending);
    pendingByPartition.set(partition, pending);
    if (!activeFlushes.has(partition)) activeFlushes.set(partition, flushPartition(partition));
  };

  return {
    claim: (request) =>
      new Promise((resolve, reject) => {
        enqueueChange(request.hash, ({ claims }) => claims.push({ request, resolve, reject }));
      }),
    finish: (finished) =>
      new Promise((done) => {
        enqueueChange(finished.hash, (pending) => pending.finished.push({ finished, done }));
      }),
    release: (hash, claimId) =>
      new Promise((done) => {
        enqueueChange(hash, (pending) => pending.released.push({ claimId, done }));
      }),
    waitUntilIdle: async () => {
      while (activeFlushes.size > 0) await Promise.all(activeFlushes.values());
    },
  };
}
