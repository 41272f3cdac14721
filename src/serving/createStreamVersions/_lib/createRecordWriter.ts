import { formatError } from '../../../errors/index.js';
import { TransactionResult, type FleetStore } from '../../../ports/fleetStore.js';
import type { Log } from '../../../ports/log.js';
import type { StoreOutage } from '../../createStoreOutage/index.js';
import type { StreamRecord } from '../../versionKeys.js';

/** Writes records of streams in batches. */
export interface RecordWriter {
  /** Writes the record of a stream soon, and again where the store may have lost it. */
  add: (key: string) => void;
  close: () => void;
}

/** Options of createRecordWriter. */
export interface RecordWriterOptions {
  store: Pick<FleetStore, 'transact' | 'grantLease'>;
  log: Log;
  outage: Pick<StoreOutage, 'recordResponse'>;
  /** Whether the store may be asked at present. */
  mayAskStore: () => boolean;
  /** Finds the record to write; undefined once nobody can resume the stream any more. */
  findRecord: (key: string) => StreamRecord | undefined;
  /** Called after each batch with its number of records, or with 0 where the store did not take it. */
  onWritten?: (records: number) => void;
  nowMs: () => number;
  /** Time in which records are collected, in milliseconds; 5 by default. */
  batchDelayMs?: number;
}

/** Longer than a stream and the tries of its caller last, twice over. */
const RECORD_TTL_MS = 120_000;
/** A lease is used for this long, so that each record stays for the rest of it at least. */
const LEASE_USE_MS = 60_000;
const MAX_BATCH = 32; // keys that the store takes in one transaction
const RETRY_DELAY_MS = 500;

/** Creates a writer without anything to write. */
export function createRecordWriter(options: RecordWriterOptions): RecordWriter {
  const { store, log, outage, mayAskStore, findRecord, nowMs, batchDelayMs = 5 } = options;
  const pending = new Set<string>();
  let lease: { id: number; grantedAtMs: number } | undefined;
  let timer: NodeJS.Timeout | undefined;
  let isClosed = false;

  const takeLease = async (): Promise<number> => {
    if (lease !== undefined && nowMs() - lease.grantedAtMs < LEASE_USE_MS) return lease.id;
    const grantedAtMs = nowMs();
    const granted = await store.grantLease(RECORD_TTL_MS);
    lease = { id: granted.lease, grantedAtMs };
    return granted.lease;
  };

  /** Takes the next records to write; those that are not needed any more are dropped. */
  const takeBatch = (): Map<string, StreamRecord> => {
    const batch = new Map<string, StreamRecord>();
    for (const key of pending) {
      if (batch.size === MAX_BATCH) break;
      pending.delete(key);
      const record = findRecord(key);
      if (record !== undefined) batch.set(key, record);
    }
    return batch;
  };

  const writeBatch = async (batch: ReadonlyMap<string, StreamRecord>): Promise<boolean> => {
    try {
      const id = await takeLease();
      const writes = [...batch].map(([key, record]) => ({
        key,
        value: JSON.stringify(record),
        lease: id,
      }));
      const { result } = await store.transact({ conditions: [], writes });
      outage.recordResponse();
      if (result === TransactionResult.done) return true;
      lease = undefined;
      log.info({ records: batch.size, result }, 'records of streams not written, trying again');
    } catch (error) {
      log.warn(
        { records: batch.size, error: formatError(error) },
        'records of streams not written',
      );
    }
    return false;
  };

  const flush = async (): Promise<void> => {
    const batch = mayAskStore() ? takeBatch() : new Map<string, StreamRecord>();
    let isWritten = true;
    if (batch.size > 0) {
      isWritten = await writeBatch(batch);
      options.onWritten?.(isWritten ? batch.size : 0);
      if (!isWritten) for (const key of batch.keys()) pending.add(key);
    }
    timer = undefined;
    if (pending.size > 0) startTimer(isWritten && batch.size > 0 ? 0 : RETRY_DELAY_MS);
  };

  const startTimer = (delayMs: number): void => {
    if (isClosed || timer !== undefined) return;
    timer = setTimeout(() => void flush(), delayMs);
    timer.unref();
  };

  return {
    add: (key) => {
      pending.add(key);
      startTimer(batchDelayMs);
    },
    close: () => {
      isClosed = true;
      clearTimeout(timer);
    },
  };
}
