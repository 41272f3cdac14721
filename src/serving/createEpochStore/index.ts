import { createLinkedSignal } from '../../common/createLinkedSignal.js';
import { decodeRevision } from '../../decisions/storeEpochs/decodeRevision/index.js';
import { encodeRevision } from '../../decisions/storeEpochs/encodeRevision/index.js';
import { isSupportedEpoch } from '../../decisions/storeEpochs/isSupportedEpoch/index.js';
import { KeyValueServiceError } from '../../errors/index.js';
import {
  TransactionResult,
  type FleetStore,
  type StoreAnswer,
  type StoreClient,
} from '../../ports/fleetStore.js';
import type { Log } from '../../ports/log.js';

/** Options of createEpochStore. */
export interface EpochStoreOptions {
  client: StoreClient;
  log: Log;
}

/**
 * Creates the store as the fleet uses it. Revisions and leases count within one epoch of the store
 * only: after it was restored from a copy it gives the same numbers out again. So revisions are encoded
 * with their epoch, a position, condition or lease of an earlier epoch ends without a call, and what was
 * sent in one epoch and answered in another one does not count as done.
 */
export function createEpochStore({ client, log }: EpochStoreOptions): FleetStore {
  let epoch = 0;
  let hasAnswered = false;
  let epochEnd = new AbortController();
  /** Epochs in which this process was granted its leases. */
  const leaseEpochs = new Map<number, number>();
  const listeners: ((epoch: number) => void)[] = [];

  const changeEpoch = (next: number): void => {
    const before = epoch;
    epoch = next;
    leaseEpochs.clear();
    log.warn({ before, epoch }, 'store was restored from a copy, its earlier numbers are void');
    const ended = epochEnd;
    epochEnd = new AbortController();
    ended.abort();
    for (const listener of listeners) listener(epoch);
  };

  /** Records the epoch that a response names, if any; returns the one from which the response is. */
  const recordEpoch = (named: number | undefined): number => {
    if (named !== undefined && !isSupportedEpoch(named))
      throw new KeyValueServiceError(`store named epoch ${named}, which is not supported`);
    if (named !== undefined && named < epoch)
      throw new KeyValueServiceError(
        `store answered from epoch ${named} after it had answered from epoch ${epoch}`,
      );
    if (named !== undefined && named > epoch) {
      if (hasAnswered) changeEpoch(named);
      else epoch = named;
    }
    hasAnswered = true;
    return epoch;
  };

  const recordRefusal = (error: unknown): void => {
    if (!(error instanceof KeyValueServiceError)) return;
    const { epoch: named } = error;
    if (named !== undefined && named > epoch && isSupportedEpoch(named)) recordEpoch(named);
  };

  const ask = async <T>(
    answer: Promise<StoreAnswer<T>>,
  ): Promise<{ value: T; answeredIn: number }> => {
    try {
      const { value, epoch: named } = await answer;
      return { value, answeredIn: recordEpoch(named) };
    } catch (error) {
      recordRefusal(error);
      throw error;
    }
  };

  const isLeaseOfEpoch = (lease: number): boolean => leaseEpochs.get(lease) === epoch;

  return {
    getEpoch: () => epoch,
    onEpochChange: (listener) => void listeners.push(listener),
    list: async (prefix, after) => {
      const { value, answeredIn } = await ask(client.list(prefix, after));
      return {
        ...value,
        items: value.items.map((item) => ({
          ...item,
          revision: encodeRevision(answeredIn, item.revision),
        })),
        revision: encodeRevision(answeredIn, value.revision),
      };
    },
    watch: async (prefix, after, waitMs, signal) => {
      const position = decodeRevision(after);
      if (position.epoch !== epoch) return undefined;
      const ended = epochEnd.signal;
      const linked = createLinkedSignal([signal, ended]);
      try {
        const { value, answeredIn } = await ask(
          client.watch(prefix, position.revision, waitMs, linked.signal),
        );
        if (value === undefined || answeredIn !== position.epoch) return undefined;
        return {
          changes: value.changes.map((change) => ({
            ...change,
            revision: encodeRevision(answeredIn, change.revision),
          })),
          revision: encodeRevision(answeredIn, value.revision),
        };
      } catch (error) {
        if (ended.aborted && !signal.aborted) return undefined;
        throw error;
      } finally {
        linked.release();
      }
    },
    transact: async ({ conditions, writes, removals }) => {
      const sentIn = epoch;
      const known = conditions.map(({ key, revision }) => ({ key, ...decodeRevision(revision) }));
      if (known.some((condition) => condition.revision !== 0 && condition.epoch !== sentIn))
        return { result: TransactionResult.conflict, revision: 0 };
      if (writes.some(({ lease }) => lease !== undefined && !isLeaseOfEpoch(lease)))
        return { result: TransactionResult.leaseEnded, revision: 0 };
      const { value, answeredIn } = await ask(
        client.transact({
          conditions: known.map(({ key, revision }) => ({ key, revision })),
          writes,
          removals,
        }),
      );
      if (answeredIn === sentIn)
        return { ...value, revision: encodeRevision(answeredIn, value.revision) };
      log.warn(
        { sentIn, answeredIn, result: value.result, keys: writes.map(({ key }) => key) },
        'transaction answered in another epoch, does not count',
      );
      return { result: TransactionResult.conflict, revision: 0 };
    },
    grantLease: async (ttlMs) => {
      const { value, answeredIn } = await ask(client.grantLease(ttlMs));
      leaseEpochs.set(value.lease, answeredIn);
      return value;
    },
    renewLease: async (lease) => {
      const sentIn = epoch;
      if (!isLeaseOfEpoch(lease)) return false;
      const { value, answeredIn } = await ask(client.renewLease(lease));
      if (value && answeredIn === sentIn) return true;
      leaseEpochs.delete(lease);
      return false;
    },
    close: client.close,
  };
}
