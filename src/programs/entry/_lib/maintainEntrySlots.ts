import { setTimeout as wait } from 'node:timers/promises';
import type { ControlState } from '../../../coordination/createControlState/index.js';
import {
  maintainSlots,
  type MaintainSlotsOptions,
} from '../../../coordination/maintainSlots/index.js';

const BUNDLE_POLL_INTERVAL_MS = 50;

/** Waits for the first accepted bundle, then maintains the slots of this host until the signal aborts. */
export async function maintainEntrySlots(
  controlState: ControlState,
  options: MaintainSlotsOptions,
): Promise<void> {
  const { signal } = options;
  // Bucket levels are restored together with the slots, but only for organisations of a known bundle.
  while (!signal.aborted && controlState.get().accepted === undefined)
    await wait(BUNDLE_POLL_INTERVAL_MS);
  await maintainSlots(options);
}
