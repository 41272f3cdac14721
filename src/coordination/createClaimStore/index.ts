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

/** Options of the keeper of claims. */
export interface ClaimStoreOptions {
  service: KeyValueService;
  clock: Clock;
  log: Log;
  /** Time in milliseconds for which claims of one partition are gathered into one write; 3 by default. */
  batchWindowMs?: number;
}

/** Claims of keyed requests that are not idempotent. */
export interface ClaimStore {
  /** Claims a request; rejects when the service can't tell, and the request must not run then. */
  claim: (request: ClaimRequest) => Promise<ClaimOutcome>;
  /** Records how a claimed request ended; a failure leaves the claim running, which refuses repeats. */
  finish: (finished: FinishedClaim) => Promise<void>;
  /** Gives a claim up, since its request has not run. */
  release: (hash: string, claimId: string) => Promise<void>;
  /** Settles when no write is under way. */
  waitUntilIdle: () => Promise<void>;
}

interface PartitionWork {
  claims: {
    request: ClaimRequest;
    resolve: (o: ClaimOutcome) => void;
    reject: (e: unknown) => void;
  }[];
  finished: { finished: FinishedClaim; done: () => void }[];
  released: { claimId: string; done: () => void }[];
}

function createWork(): PartitionWork {
  return { claims: [], finished: [], released: [] };
}

function isEmpty({ claims, finished, released }: PartitionWork): boolean {
  return claims.length + finished.length + released.length === 0;
}

/** Creates the keeper of claims; the compare-and-swap alone decides who holds a claim. */
export function createClaimStore(options: ClaimStoreOptions): ClaimStore {
  const { service, clock, log, batchWindowMs = 3 } = options;
  const waiting = new Map<number, PartitionWork>();
  const running = new Map<number, Promise<void>>();
  const known = new Map<number, KeyValueEntry>();

  const writePartition = async (partition: number, work: PartitionWork): Promise<void> => {
    const requests = work.claims.map(({ request }) => request);
    const finished = work.finished.map((item) => item.finished);
    const released = new Set(work.released.map(({ claimId }) => claimId));
    const update = await updateValue<ClaimPartition, ReadonlyMap<string, ClaimOutcome>>(
      service,
      buildClaimsKey(partition),
      (stored = {}) => {
        const settled = releaseClaims(finishClaims(stored, finished), released);
        const added = addClaims(settled, requests, clock.wallMs());
        return { body: added.partition, result: added.outcomes };
      },
      { cachedEntry: known.get(partition) },
    );
    if (update.entry !== undefined) known.set(partition, update.entry);
    for (const { request, resolve } of work.claims)
      resolve(update.result.get(request.claimId) ?? { kind: 'full' });
  };

  const runPartition = async (partition: number): Promise<void> => {
    for (;;) {
      await wait(batchWindowMs);
      const work = waiting.get(partition);
      if (work === undefined || isEmpty(work)) break;
      waiting.delete(partition);
      try {
        await writePartition(partition, work);
      } catch (error) {
        log.warn({ partition, error: formatError(error) }, 'claims could not be written');
        known.delete(partition);
        for (const { reject } of work.claims) reject(error);
      }
      for (const { done } of [...work.finished, ...work.released]) done();
    }
    running.delete(partition);
  };

  const addWork = (hash: string, add: (work: PartitionWork) => void): void => {
    const partition = computePartition(hash);
    const work = waiting.get(partition) ?? createWork();
    add(work);
    waiting.set(partition, work);
    if (!running.has(partition)) running.set(partition, runPartition(partition));
  };

  return {
    claim: (request) =>
      new Promise((resolve, reject) => {
        addWork(request.hash, ({ claims }) => claims.push({ request, resolve, reject }));
      }),
    finish: (finished) =>
      new Promise((done) => {
        addWork(finished.hash, (work) => work.finished.push({ finished, done }));
      }),
    release: (hash, claimId) =>
      new Promise((done) => {
        addWork(hash, (work) => work.released.push({ claimId, done }));
      }),
    waitUntilIdle: async () => {
      while (running.size > 0) await Promise.all(running.values());
    },
  };
}
