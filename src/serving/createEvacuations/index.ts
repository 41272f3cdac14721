import type { Moment } from '../../common/moment.js';
import { dropAwaitedEvacuations } from '../../decisions/evacuations/dropAwaitedEvacuations/index.js';
import { mergeEvacuations } from '../../decisions/evacuations/mergeEvacuations/index.js';
import type {
  Evacuation,
  EvacuationRead,
  EvacuationState,
} from '../../decisions/evacuations/types.js';
import { decodeRevision } from '../../decisions/storeEpochs/decodeRevision/index.js';
import type { Clock } from '../../ports/clock.js';
import type { StoreChange } from '../../ports/fleetStore.js';
import type { Log } from '../../ports/log.js';
import { createListAge } from '../createListAge/index.js';
import { MAX_NAME_LENGTH, type FleetView } from '../fleetMessages.js';

/** The set of evacuated data centres as the leader passes it on. */
export type SentEvacuations = NonNullable<FleetView['evacuations']>;

/** The evacuated data centres as this host knows them. */
export interface Evacuations {
  /** Whether nothing may be sent to the servers of a data centre; true for each until the set is known. */
  isEvacuated: (dataCentre: string) => boolean;
  /** Lists the evacuated data centres. */
  list: () => string[];
  /** Whether the set has been read; also true in a deployment without evacuations. */
  isKnown: () => boolean;
  /** Milliseconds since the set was known to be complete; 0 in a deployment without evacuations. */
  getAgeMs: () => number;
  /** Applies keys of the store: all under the watched prefix, or those that have changed. */
  applyKeys: (
    keys: readonly StoreChange[],
    read: { revision: number; isSnapshot: boolean },
  ) => void;
  /** Records that what was applied is complete up to a moment. */
  recordComplete: (asOf: Moment) => void;
  /** Applies the set of the leader, complete up to a moment where that is known. */
  applySent: (sent: SentEvacuations, asOf: Moment | undefined) => void;
  /** Encodes the set for the other hosts; undefined while it is not known. */
  encode: () => SentEvacuations | undefined;
}

/** Options of createEvacuations. */
export interface EvacuationsOptions {
  clock: Clock;
  log: Log;
  /** Prefix of the keys, each followed by a data centre; undefined without evacuations. */
  prefix?: string;
  /**
   * Called when data centres were evacuated or evacuations revoked; by default with no effect. All
   * servers of a revoked one may be cold.
   */
  onChange?: (change: { evacuated: string[]; revoked: string[] }) => void;
  /** Called whenever the set is known to be complete up to some moment; by default with no effect. */
  onComplete?: () => void;
}

const NONE: ReadonlyMap<string, Evacuation> = new Map();

/** Creates the set of a host that has read none yet. */
export function createEvacuations(options: EvacuationsOptions): Evacuations {
  const { clock, log, prefix, onChange = () => undefined, onComplete } = options;
  const age = createListAge(clock, { onComplete });
  let state: EvacuationState | undefined;

  const setState = (next: EvacuationState | undefined, source: string): void => {
    const before = state?.evacuations ?? NONE;
    const evacuations = next?.evacuations ?? NONE;
    state = next;
    const evacuated = [...evacuations.keys()].filter((name) => !before.has(name));
    const revoked = [...before.keys()].filter((name) => !evacuations.has(name));
    for (const dataCentre of evacuated)
      log.warn(
        { evacuated: dataCentre, revision: evacuations.get(dataCentre)?.revision, source },
        'evacuation in force, nothing is sent to servers of the data centre',
      );
    for (const [dataCentre, { revision, awaitedUntilMs }] of evacuations)
      if (awaitedUntilMs !== undefined && before.get(dataCentre)?.awaitedUntilMs === undefined)
        log.warn(
          { evacuated: dataCentre, revision, source },
          'evacuation kept, its key is missing in a restored store',
        );
    for (const dataCentre of revoked)
      log.warn({ evacuated: dataCentre, revision: next?.revision, source }, 'evacuation revoked');
    if (evacuated.length + revoked.length > 0) onChange({ evacuated, revoked });
  };

  const apply = (read: EvacuationRead, source: string): void =>
    setState(mergeEvacuations(state, read, clock.monotonicMs()), source);

  const recordComplete = (asOf: Moment): void => {
    if (state === undefined) return;
    age.recordComplete(asOf);
    const completeAsOfMs = clock.monotonicMs() - age.getAgeMs();
    setState(dropAwaitedEvacuations(state, completeAsOfMs), 'not written again after a restore');
  };

  const isDataCentre = ({ key }: StoreChange): boolean =>
    prefix !== undefined &&
    key.startsWith(prefix) &&
    key.length > prefix.length &&
    key.length <= prefix.length + MAX_NAME_LENGTH;

  return {
    isEvacuated: (dataCentre) =>
      prefix !== undefined && (state === undefined || state.evacuations.has(dataCentre)),
    list: () => [...(state?.evacuations.keys() ?? [])],
    isKnown: () => prefix === undefined || state !== undefined,
    getAgeMs: () => (prefix === undefined ? 0 : age.getAgeMs()),
    applyKeys: (keys, { revision, isSnapshot }) => {
      if (prefix === undefined) return;
      const present = new Map<string, Evacuation>();
      const revoked = new Map<string, number>();
      for (const change of keys.filter(isDataCentre)) {
        const dataCentre = change.key.slice(prefix.length);
        // The last change of a key counts.
        if (change.value === undefined) {
          present.delete(dataCentre);
          revoked.set(dataCentre, change.revision);
        } else {
          revoked.delete(dataCentre);
          present.set(dataCentre, { revision: change.revision });
        }
      }
      apply({ revision, present, revoked, isSnapshot }, 'store');
    },
    recordComplete: (asOf) => {
      if (prefix !== undefined) recordComplete(asOf);
    },
    applySent: ({ revision, evacuated }, asOf) => {
      if (prefix === undefined) return;
      const nowMs = clock.monotonicMs();
      const present = new Map(
        evacuated.map(({ dataCentre, awaitedMs, ...item }) => [
          dataCentre,
          awaitedMs === undefined ? item : { ...item, awaitedUntilMs: nowMs + awaitedMs },
        ]),
      );
      apply({ revision, present, revoked: new Map(), isSnapshot: true }, 'peer');
      // A leader that does not know of a restore yet tells nothing of the restored store.
      const isOutdated =
        decodeRevision(revision).epoch < decodeRevision(state?.revision ?? 0).epoch;
      if (asOf !== undefined && !isOutdated) recordComplete(asOf);
    },
    encode: () => {
      if (state === undefined) return undefined;
      const nowMs = clock.monotonicMs();
      const ageMs = age.getAgeMs();
      return {
        revision: state.revision,
        ageMs: Number.isFinite(ageMs) ? ageMs : undefined,
        evacuated: [...state.evacuations].map(([dataCentre, { revision, awaitedUntilMs }]) => ({
          dataCentre,
          revision,
          awaitedMs: awaitedUntilMs === undefined ? undefined : Math.max(0, awaitedUntilMs - nowMs),
        })),
      };
    },
  };
}
