import { decodeRevision } from '../../storeEpochs/decodeRevision/index.js';
import type { Evacuation, EvacuationRead, EvacuationState } from '../types.js';

/** Time after a restore of the store within which operators write again what the copy lacks. */
export const REWRITE_MS = 2000;
/** Far more than there are data centres; bounds what invalid keys take. */
export const MAX_EVACUATIONS = 1000;

function isOfEarlierEpoch(revision: number, other: number): boolean {
  return decodeRevision(revision).epoch < decodeRevision(other).epoch;
}

function mergeSnapshot(
  { revision, evacuations }: EvacuationState,
  read: EvacuationRead,
  nowMs: number,
): Map<string, Evacuation> {
  const merged = new Map(read.present);
  const isRestored = isOfEarlierEpoch(revision, read.revision);
  for (const [dataCentre, evacuation] of evacuations) {
    const present = merged.get(dataCentre);
    if (present !== undefined && present.awaitedUntilMs === undefined) continue;
    // A leader repeats what it awaits; this host's own limit stays.
    if (isRestored) merged.set(dataCentre, { ...evacuation, awaitedUntilMs: nowMs + REWRITE_MS });
    else if (evacuation.awaitedUntilMs !== undefined) merged.set(dataCentre, evacuation);
  }
  return merged;
}

function mergeChanges(
  { revision, evacuations }: EvacuationState,
  { present, revoked }: EvacuationRead,
): Map<string, Evacuation> {
  const merged = new Map(evacuations);
  for (const [dataCentre, atRevision] of revoked)
    if (atRevision > revision) merged.delete(dataCentre);
  for (const [dataCentre, evacuation] of present)
    if (evacuation.revision > revision) merged.set(dataCentre, evacuation);
  return merged;
}

/** Adds what a leader awaits after a restore of the store, and a host that started since cannot know. */
function addAwaited(state: EvacuationState, read: EvacuationRead): EvacuationState {
  const awaited = [...read.present].filter(
    ([dataCentre, { awaitedUntilMs }]) =>
      awaitedUntilMs !== undefined && !state.evacuations.has(dataCentre),
  );
  if (awaited.length === 0 || isOfEarlierEpoch(read.revision, state.revision)) return state;
  return { ...state, evacuations: new Map([...state.evacuations, ...awaited]) };
}

/**
 * Merges what was read of the evacuated data centres into what a host knows. What is older than that
 * changes nothing, so that neither a late view of a leader nor a list that crossed one revokes an
 * evacuation or brings it back. A key that is missing only since the store was restored from a copy
 * counts as present until `REWRITE_MS` later. Answers a host that takes its news from two sources,
 * the leader and the store, and changes between them at any moment.
 */
export function mergeEvacuations(
  state: EvacuationState | undefined,
  read: EvacuationRead,
  nowMs: number,
): EvacuationState | undefined {
  const { revision, present, isSnapshot } = read;
  if (state === undefined) return isSnapshot ? { revision, evacuations: present } : undefined;
  if (revision < state.revision) return addAwaited(state, read);
  const merged = isSnapshot ? mergeSnapshot(state, read, nowMs) : mergeChanges(state, read);
  return { revision, evacuations: new Map([...merged].slice(0, MAX_EVACUATIONS)) };
}
