import { setTimeout as wait } from 'node:timers/promises';
import { countFairSlots } from '../../decisions/slots/countFairSlots/index.js';
import { dropDeadHolders } from '../../decisions/slots/dropDeadHolders/index.js';
import { releaseSlots } from '../../decisions/slots/releaseSlots/index.js';
import { createSlotAllocation, takeSlots } from '../../decisions/slots/takeSlots/index.js';
import type { SlotAllocation, SlotHolder } from '../../decisions/slots/types.js';
import { MILLISECONDS_PER_SECOND } from '../../decisions/rate/constants/index.js';
import { formatError } from '../../errors/index.js';
import type { Clock } from '../../ports/clock.js';
import type { KeyValueService } from '../../ports/keyValueService.js';
import type { Log } from '../../ports/log.js';
import type { RateLimiter } from '../createRateLimiter/index.js';
import { buildSlotHolderKey, StorageKeys } from '../storageKeys.js';
import { updateValue } from '../updateValue/index.js';

/** What holding slots needs. */
export interface MaintainSlotsOptions {
  service: KeyValueService;
  limiter: RateLimiter;
  clock: Clock;
  log: Log;
  host: string;
  /** Peer address and port. */
  endpoint: string;
  /** Unique to this run of the process. */
  incarnation: string;
  /** Time for which slots stay this host's without contact to the service. */
  leaseSeconds: number;
  /** Counts the live entry hosts, this one included. */
  countLiveHosts: () => number;
  signal: AbortSignal;
}

const ROUND_MS = 1000;
const SHORT_ROUND_MS = 250;
const SHARES_POLL_MS = 5000;
const RELEASE_ATTEMPTS = 3;
/** Slots above the fair number that a host keeps, so that slots don't move back and forth. */
const SURPLUS_SLOTS = 1;

interface Tenure {
  /** Names this holder; a new one after a lapse. */
  id: string;
  lease: string;
  renewedAtMs: number;
}

async function startTenure(options: MaintainSlotsOptions, count: number): Promise<Tenure> {
  const { service, clock, incarnation, leaseSeconds, limiter, host } = options;
  const id = `${incarnation}.${count}`;
  const renewedAtMs = clock.monotonicMs();
  const lease = await service.grantLease(leaseSeconds);
  const swap = await service.compareAndSwap(buildSlotHolderKey(id), 0, host, { lease });
  if (!swap.swapped) throw new Error('the holder key already stands');
  limiter.setLeaseExpiry(renewedAtMs + leaseSeconds * MILLISECONDS_PER_SECOND);
  return { id, lease, renewedAtMs };
}

async function renewTenure(
  options: MaintainSlotsOptions,
  tenure: Tenure,
): Promise<Tenure | undefined> {
  const { service, clock, leaseSeconds, limiter } = options;
  const termMs = leaseSeconds * MILLISECONDS_PER_SECOND;
  const renewedAtMs = clock.monotonicMs();
  if (renewedAtMs - tenure.renewedAtMs < termMs / 3) return tenure;
  if (!(await service.renewLease(tenure.lease))) return undefined;
  // The term counts from before the renewal was sent.
  limiter.setLeaseExpiry(renewedAtMs + termMs);
  return { ...tenure, renewedAtMs };
}

async function findDeadHolders(
  { service, endpoint }: MaintainSlotsOptions,
  shares: SlotAllocation,
  ownId: string,
): Promise<Set<string>> {
  const dead = new Set<string>();
  for (const holder of shares.holders) {
    if (holder.incarnation === ownId) continue;
    // Only one process can be bound to this address and port: the earlier one has ended.
    const isReplaced = holder.endpoint === endpoint;
    const key = buildSlotHolderKey(holder.incarnation);
    if (isReplaced || (await service.get(key)) === undefined) dead.add(holder.incarnation);
  }
  return dead;
}

function findOwn(shares: SlotAllocation, id: string): number {
  return shares.holders.find(({ incarnation }) => incarnation === id)?.slots ?? 0;
}

async function takeMissing(
  options: MaintainSlotsOptions,
  tenure: Tenure,
  wanted: number,
): Promise<void> {
  const { service, limiter, host, endpoint, log } = options;
  const entry = await service.get(StorageKeys.shares);
  const known =
    entry === undefined
      ? createSlotAllocation()
      : (JSON.parse(entry.value) as { body: SlotAllocation }).body;
  const dead = await findDeadHolders(options, known, tenure.id);
  const taker: Omit<SlotHolder, 'slots'> = { host, endpoint, incarnation: tenure.id };
  const held = limiter.countSlots();
  const { result } = await updateValue<
    SlotAllocation,
    { slots: number; units: Record<string, number> }
  >(
    service,
    StorageKeys.shares,
    (shares = createSlotAllocation()) => {
      const alive = dropDeadHolders(shares, ({ incarnation }) => dead.has(incarnation));
      // Slots that are ours in the service but not here come from a write whose answer was lost.
      const found = Math.max(0, findOwn(alive, tenure.id) - held);
      const taken = takeSlots(alive, taker, wanted - held - found);
      const result = { slots: taken.slots + found, units: taken.units };
      return taken.shares === shares ? { result } : { body: taken.shares, result };
    },
    { cachedEntry: entry },
  );
  if (result.slots === 0) return;
  limiter.addSlots(result.slots, result.units);
  log.info({ slots: limiter.countSlots() }, 'slots taken');
}

async function giveBack(
  options: MaintainSlotsOptions,
  tenure: Tenure,
  count: number,
): Promise<void> {
  const { service, limiter, log } = options;
  if (count === 0) return;
  const units = limiter.releaseSlots(count);
  const change = (
    shares: SlotAllocation = createSlotAllocation(),
  ): { body: SlotAllocation; result: undefined } => ({
    body: releaseSlots(shares, tenure.id, count, units),
    result: undefined,
  });
  await updateValue(service, StorageKeys.shares, change, { attempts: RELEASE_ATTEMPTS });
  log.info({ slots: limiter.countSlots() }, 'slots released');
}

async function runRound(options: MaintainSlotsOptions, tenure: Tenure): Promise<void> {
  const { limiter, countLiveHosts } = options;
  const fair = countFairSlots(countLiveHosts());
  const held = limiter.countSlots();
  if (held < fair) await takeMissing(options, tenure, fair);
  else if (held > fair + SURPLUS_SLOTS) await giveBack(options, tenure, held - fair);
}

/**
 * Holds this host's slots of every rate and burst until the signal aborts, then gives them back with
 * their levels. While the key-value service is away the slots stay held to the end of their term.
 */
export async function maintainSlots(options: MaintainSlotsOptions): Promise<void> {
  const { limiter, clock, log, signal } = options;
  let tenure: Tenure | undefined;
  let tenures = 0;
  let sharesReadAtMs = -Infinity;
  while (!signal.aborted) {
    let isSettled = false;
    try {
      if (tenure !== undefined) tenure = await renewTenure(options, tenure);
      if (tenure === undefined) {
        // Slots of a lapsed tenure may be another's already.
        limiter.releaseSlots(limiter.countSlots());
        tenures += 1;
        tenure = await startTenure(options, tenures);
        sharesReadAtMs = -Infinity;
      }
      const isShort = limiter.countSlots() < countFairSlots(options.countLiveHosts());
      if (!isShort || clock.monotonicMs() - sharesReadAtMs >= SHARES_POLL_MS) {
        if (isShort) sharesReadAtMs = clock.monotonicMs();
        await runRound(options, tenure);
      }
      isSettled = limiter.countSlots() > 0;
    } catch (error) {
      log.warn({ error: formatError(error) }, 'slots could not be kept up');
    }
    const pause = isSettled ? ROUND_MS : SHORT_ROUND_MS;
    await wait(pause, undefined, { signal }).catch(() => undefined);
  }
  if (tenure === undefined) return;
  await giveBack(options, tenure, limiter.countSlots()).catch((error: unknown) =>
    log.warn({ error: formatError(error) }, 'slots could not be given back'),
  );
  await options.service.releaseLease(tenure.lease).catch(() => undefined);
}
