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

const RETRY_MS = 250;
const POLL_MS = 1000;

/** What following the key-value service needs. */
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
    const report = (entry: KeyValueEntry | undefined): void => {
      if (isBroken) log.info({ key }, 'watch stands again');
      isBroken = false;
      onChange(entry);
    };
    try {
      await service.watch(key, report, signal);
    } catch (error) {
      if (!isBroken) log.warn({ key, error: formatError(error) }, 'watch broke');
      isBroken = true;
    }
    await wait(RETRY_MS, undefined, { signal }).catch(() => undefined);
  }
}

async function takeHead(
  { service, controlState }: SyncControlStateOptions,
  entry: KeyValueEntry | undefined,
): Promise<void> {
  const head = parseStored<BundleHead>(entry);
  if (head === undefined) return;
  if (head.version <= (controlState.get().accepted?.bundle.version ?? 0)) return;
  await controlState.offerBundle(await readBundle(service, head));
}

/** Reads the head from time to time: that notices a watch which hangs, and is this host's sign of contact. */
async function pollHead(options: SyncControlStateOptions): Promise<void> {
  const { service, signal } = options;
  while (!signal.aborted) {
    await service
      .get(StorageKeys.bundleHead)
      .then((entry) => takeHead(options, entry))
      .catch(() => undefined);
    await wait(POLL_MS, undefined, { signal }).catch(() => undefined);
  }
}

/** Follows bundle, withdrawals and ledger in the key-value service until the signal aborts. */
export async function syncControlState(options: SyncControlStateOptions): Promise<void> {
  const { controlState, log } = options;
  const warn = (error: unknown): void =>
    log.warn({ error: formatError(error) }, 'fact could not be taken');
  await Promise.all([
    pollHead(options),
    watchKey(options, StorageKeys.bundleHead, (entry) => void takeHead(options, entry).catch(warn)),
    watchKey(options, StorageKeys.withdrawals, (entry) => {
      const list = parseStored<WithdrawalList>(entry);
      if (list !== undefined) void controlState.offerWithdrawals(list.signed).catch(warn);
    }),
    watchKey(options, StorageKeys.ledger, (entry) => {
      const ledger = parseStored<Ledger>(entry);
      if (entry !== undefined && ledger !== undefined)
        controlState.offerLedger(ledger, entry.revision);
    }),
  ]);
}
