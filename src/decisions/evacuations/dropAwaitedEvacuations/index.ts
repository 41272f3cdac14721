import type { Evacuation, EvacuationState } from '../types.js';

/**
 * Drops the evacuations whose keys are missing since a restore of the store, once what is known is
 * complete as of a moment when operators have had the time to write them again. Answers a write in
 * the last moment of that time, whose news take another watch and another view to reach all hosts.
 */
export function dropAwaitedEvacuations(
  state: EvacuationState,
  completeAsOfMs: number,
): EvacuationState {
  const isOver = ({ awaitedUntilMs }: Evacuation): boolean =>
    awaitedUntilMs !== undefined && completeAsOfMs >= awaitedUntilMs;
  if (![...state.evacuations.values()].some(isOver)) return state;
  const evacuations = new Map([...state.evacuations].filter(([, item]) => !isOver(item)));
  return { ...state, evacuations };
}
