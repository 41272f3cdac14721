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

/** Dependencies and options of maintainSlots. */
export interface MaintainSlotsOptions {
  service: KeyValueService;
  limiter: RateLimiter;
  clock: Clock;
  log: Log;
  host: string;
  /** Address and port for peers. */
  endpoint: string;
  /** Unique id of this process run. */
  incarnation: string;
  /** Time for which the slots stay held without contact to the key-value service. */
  leaseSeconds: number;
  /** Counts the live entry hosts, including this one. */
  countLiveHosts: () => number;
  signal: AbortSignal;
}

const ROUND_INTERVAL_MS = 1000;
const NO_SLOTS_ROUND_INTERVAL_MS = 250;
const ALLOCATION_POLL_INTERVAL_MS = 5000;
const MAX_RELEASE_ATTEMPTS = 3;
/** Slots above its fair share that a host may keep; prevents slots from oscillating between hosts. */
const MAX_SURPLUS_SLOTS = 1;

/** Lease on the slots that this host holds. */
interface SlotLease {
  /** Holder id in the slot allocation; a new one is used after each expiry. */
  id: string;
  lease: string;
  renewedAtMs: number;
}

async function startSlotLease(options: MaintainSlotsOptions, sequence: number): Promise<SlotLease> {
  const { service, clock, incarnation, leaseSeconds, limiter, host } = options;
  const id = `${incarnation}.${sequence}`;
  const renewedAtMs = clock.monotonicMs();
  const lease = await service.grantLease(leaseSeconds);
  const swap = await service.compareAndSwap(buildSlotHolderKey(id), 0, host, { lease });
  if (!swap.swapped) throw new Error('slot holder key already exists');
  limiter.setLeaseExpiry(renewedAtMs + leaseSeconds * MILLISECONDS_PER_SECOND);
  return { id, lease, renewedAtMs };
}

async function renewSlotLease(
  options: MaintainSlotsOptions,
  slotLease: SlotLease,
): Promise<SlotLease | undefined> {
  const { service, clock, leaseSeconds, limiter } = options;
  const leaseMs = leaseSeconds * MILLISECONDS_PER_SECOND;
  const renewedAtMs = clock.monotonicMs();
  if (renewedAtMs - slotLease.renewedAtMs < leaseMs / 3) return slotLease;
  if (!(await service.renewLease(slotLease.lease))) return undefined;
  // Measured from before the request was sent, so that the local expiry is never the later one.
  limiter.setLeaseExpiry(renewedAtMs + leaseMs);
  return { ...slotLease, renewedAtMs };
}

async function findDeadHolders(
  { service, endpoint }: MaintainSlotsOptions,
  allocation: SlotAllocation,
  ownHolderId: string,
): Promise<Set<string>> {
  const deadHolderIds = new Set<string>();
  for (const holder of allocation.holders) {
    if (holder.incarnation === ownHolderId) continue;
    // Only one process can be bound to this address and port, so the earlier one has ended.
    const isReplaced = holder.endpoint === endpoint;
    const key = buildSlotHolderKey(holder.incarnation);
    if (isReplaced || (await service.get(key)) === undefined) deadHolderIds.add(holder.incarnation);
  }
  return deadHolderIds;
}

function countAllocatedSlots(allocation: SlotAllocation, id: string): number {
  return allocation.holders.find(({ incarnation }) => incarnation === id)?.slots ?? 0;
}

async function takeMissingSlots(
  options: MaintainSlotsOptions,
  slotLease: SlotLease,
  targetSlots: number,
): Promise<void> {
  const { service, limiter, host, endpoint, log } = options;
  const entry = await service.get(StorageKeys.shares);
  const knownAllocation =
    entry === undefined
      ? createSlotAllocation()
      : (JSON.parse(entry.value) as { body: SlotAllocation }).body;
  const deadHolderIds = await findDeadHolders(options, knownAllocation, slotLease.id);
  const holder: Omit<SlotHolder, 'slots'> = { host, endpoint, incarnation: slotLease.id };
  const heldSlots = limiter.countSlots();
  const { result } = await updateValue<
    SlotAllocation,
    { slots: number; units: Record<string, number> }
  >(
    service,
    StorageKeys.shares,
    (allocation = createSlotAllocation()) => {
      const alive = dropDeadHolders(allocation, ({ incarnation }) =>
        deadHolderIds.has(incarnation),
      );
      // Slots that only the service counts as this host's come from a write whose response was lost.
      const recoveredSlots = Math.max(0, countAllocatedSlots(alive, slotLease.id) - heldSlots);
      const taken = takeSlots(alive, holder, targetSlots - heldSlots - recoveredSlots);
      const result = { slots: taken.slots + recoveredSlots, units: taken.units };
      return taken.shares === allocation ? { result } : { body: taken.shares, result };
    },
    { cachedEntry: entry },
  );
  if (result.slots === 0) return;
  limiter.addSlots(result.slots, result.units);
  log.info({ slots: limiter.countSlots() }, 'slots acquired');
}

async function releaseHeldSlots(
  options: MaintainSlotsOptions,
  slotLease: SlotLease,
  count: number,
): Promise<void> {
  const { service, limiter, log } = options;
  if (count === 0) return;
  const units = limiter.releaseSlots(count);
  const change = (
    allocation: SlotAllocation = createSlotAllocation(),
  ): { body: SlotAllocation; result: undefined } => ({
    body: releaseSlots(allocation, slotLease.id, count, units),
    result: undefined,
  });
  await updateValue(service, StorageKeys.shares, change, { attempts: MAX_RELEASE_ATTEMPTS });
  log.info({ slots: limiter.countSlots() }, 'slots released');
}

async function runAllocationRound(
  options: MaintainSlotsOptions,
  slotLease: SlotLease,
): Promise<void> {
  const { limiter, countLiveHosts } = options;
  const fairSlots = countFairSlots(countLiveHosts());
  const heldSlots = limiter.countSlots();
  if (heldSlots < fairSlots) await takeMissingSlots(options, slotLease, fairSlots);
  else if (heldSlots > fairSlots + MAX_SURPLUS_SLOTS)
    await releaseHeldSlots(options, slotLease, heldSlots - fairSlots);
}

/**
 * Holds this host's fair share of the rate-limit slots under a lease until the signal aborts, then releases
 * them with their units. While the key-value service is unavailable, the slots stay held until the lease
 * expires.
 */
export async function maintainSlots(options: MaintainSlotsOptions): Promise<void> {
  const { limiter, clock, log, signal } = options;
  let slotLease: SlotLease | undefined;
  let leaseCount = 0;
  let allocationReadAtMs = -Infinity;
  while (!signal.aborted) {
    let hasSlots = false;
    try {
      if (slotLease !== undefined) slotLease = await renewSlotLease(options, slotLease);
      if (slotLease === undefined) {
        // After the lease expired, another host may hold these slots already.
        limiter.releaseSlots(limiter.countSlots());
        leaseCount += 1;
        slotLease = await startSlotLease(options, leaseCount);
        allocationReadAtMs = -Infinity;
      }
      const isBelowFairShare = limiter.countSlots() < countFairSlots(options.countLiveHosts());
      if (
        !isBelowFairShare ||
        clock.monotonicMs() - allocationReadAtMs >= ALLOCATION_POLL_INTERVAL_MS
      ) {
        if (isBelowFairShare) allocationReadAtMs = clock.monotonicMs();
        await runAllocationRound(options, slotLease);
      }
      hasSlots = limiter.countSlots() > 0;
    } catch (error) {
      log.warn({ error: formatError(error) }, 'slot allocation round failed');
    }
    const intervalMs = hasSlots ? ROUND_INTERVAL_MS : NO_SLOTS_ROUND_INTERVAL_MS;
    await wait(intervalMs, undefined, { signal }).catch(() => undefined);
  }
  if (slotLease === undefined) return;
  await releaseHeldSlots(options, slotLease, limiter.countSlots()).catch((error: unknown) =>
    log.warn({ error: formatError(error) }, 'slot release failed'),
  );
  await options.service.releaseLease(slotLease.lease).catch(() => undefined);
}
