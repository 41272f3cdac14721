import { setTimeout as wait } from 'node:timers/promises';
import type { Ledger } from '../../decisions/ledger/types.js';
import { formatError } from '../../errors/index.js';
import type { KeyValueEntry, KeyValueService } from '../../ports/keyValueService.js';
import type { Log } from '../../ports/log.js';
import type { Facts } from '../createFacts/index.js';
import { Keys } from '../keys.js';
import { readBundle } from '../readBundle/index.js';
import type { BundleHead, WithdrawalList } from '../types.js';
import { parseStored } from '../updateValue/index.js';

const RETRY_MS = 250;
const POLL_MS = 1000;

/** What following the key-value service needs. */
export interface FollowServiceOptions {
  service: KeyValueService;
  facts: Facts;
  log: Log;
  signal: AbortSignal;
}

async function watchKey(
  options: FollowServiceOptions,
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
  { service, facts }: FollowServiceOptions,
  entry: KeyValueEntry | undefined,
): Promise<void> {
  const head = parseStored<BundleHead>(entry);
  if (head === undefined) return;
  if (head.version <= (facts.get().accepted?.bundle.version ?? 0)) return;
  await facts.offerBundle(await readBundle(service, head));
}

/** Reads the head from time to time: that notices a watch which hangs, and is this host's sign of contact. */
async function pollHead(options: FollowServiceOptions): Promise<void> {
  const { service, signal } = options;
  while (!signal.aborted) {
    await service
      .get(Keys.bundleHead)
      .then((entry) => takeHead(options, entry))
      .catch(() => undefined);
    await wait(POLL_MS, undefined, { signal }).catch(() => undefined);
  }
}

/** Follows bundle, withdrawals and ledger in the key-value service until the signal aborts. */
export async function followService(options: FollowServiceOptions): Promise<void> {
  const { facts, log } = options;
  const warn = (error: unknown): void =>
    log.warn({ error: formatError(error) }, 'fact could not be taken');
  await Promise.all([
    pollHead(options),
    watchKey(options, Keys.bundleHead, (entry) => void takeHead(options, entry).catch(warn)),
    watchKey(options, Keys.withdrawals, (entry) => {
      const list = parseStored<WithdrawalList>(entry);
      if (list !== undefined) void facts.offerWithdrawals(list.signed).catch(warn);
    }),
    watchKey(options, Keys.ledger, (entry) => {
      const ledger = parseStored<Ledger>(entry);
      if (entry !== undefined && ledger !== undefined) facts.offerLedger(ledger, entry.revision);
    }),
  ]);
}
