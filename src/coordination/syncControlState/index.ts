import { setTimeout as wait } from 'node:timers/promises';
import type { Ledger } from '../../decisions/ledger/types.js';
import { formatError } from '../../errors/index.js';
import type { KeyValueEntry, KeyValueService } from '../../ports/keyValueService.js';
import type { Log } from '../../ports/log.js';
import type { ControlState } from '../createControlState/index.js';
import { StorageKeys } from '../storageKeys.js';
import { readBundle } from '../readBundle/index.js';
import type { BundleHead, WithdrawalList } from '../types.js';
import { parseStored } from '../updateValue/index.js';

const WATCH_RETRY_DELAY_MS = 250;
const HEAD_POLL_INTERVAL_MS = 1000;

/** Dependencies of syncControlState. */
export interface SyncControlStateOptions {
  service: KeyValueService;
  controlState: ControlState;
  log: Log;
  signal: AbortSignal;
}

async function watchKey(
  options: SyncControlStateOptions,
  key: string,
  onChange: (entry: KeyValueEntry | undefined) => void,
): Promise<void> {
  const { service, log, signal } = options;
  let isBroken = false;
  while (!signal.aborted) {
    const handleEntry = (entry: KeyValueEntry | undefined): void => {
      if (isBroken) log.info({ key }, 'watch re-established');
      isBroken = false;
      onChange(entry);
    };
    try {
      await service.watch(key, handleEntry, signal);
    } catch (error) {
      if (!isBroken) log.warn({ key, error: formatError(error) }, 'watch failed');
      isBroken = true;
    }
    await wait(WATCH_RETRY_DELAY_MS, undefined, { signal }).catch(() => undefined);
  }
}

async function applyBundleHead(
  { service, controlState }: SyncControlStateOptions,
  entry: KeyValueEntry | undefined,
): Promise<void> {
  const head = parseStored<BundleHead>(entry);
  if (head === undefined) return;
  if (head.version <= (controlState.get().accepted?.bundle.version ?? 0)) return;
  await controlState.offerBundle(await readBundle(service, head));
}

/**
 * Polls the bundle head, in case a watch hangs. The regular responses also show that the host has
 * contact with the service.
 */
async function pollHead(options: SyncControlStateOptions): Promise<void> {
  const { service, signal } = options;
  while (!signal.aborted) {
    await service
      .get(StorageKeys.bundleHead)
      .then((entry) => applyBundleHead(options, entry))
      .catch(() => undefined);
    await wait(HEAD_POLL_INTERVAL_MS, undefined, { signal }).catch(() => undefined);
  }
}

/** Replicates bundle, key withdrawals and ledger from the key-value service until the signal aborts. */
export async function syncControlState(options: SyncControlStateOptions): Promise<void> {
  const { controlState, log } = options;
  const logFailure = (error: unknown): void =>
    log.warn({ error: formatError(error) }, 'control state update failed');
  await Promise.all([
    pollHead(options),
    watchKey(
      options,
      StorageKeys.bundleHead,
      (entry) => void applyBundleHead(options, entry).catch(logFailure),
    ),
    watchKey(options, StorageKeys.withdrawals, (entry) => {
      const list = parseStored<WithdrawalList>(entry);
      if (list !== undefined) void controlState.offerWithdrawals(list.signed).catch(logFailure);
    }),
    watchKey(options, StorageKeys.ledger, (entry) => {
      const ledger = parseStored<Ledger>(entry);
      if (entry !== undefined && ledger !== undefined)
        controlState.offerLedger(ledger, entry.revision);
    }),
  ]);
}
