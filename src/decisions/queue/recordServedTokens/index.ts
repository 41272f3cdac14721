import type { VirtualServiceTimes } from '../types.js';

/** Records tokens served to an organisation of a rate; who was idle does not save up the time. */
export function recordServedTokens(
  served: VirtualServiceTimes,
  organisation: string,
  tokens: number,
  rate: number,
  waitingOrganisations: readonly string[],
): VirtualServiceTimes {
  const floor = Math.min(
    ...waitingOrganisations.map((name) => served[name] ?? 0),
    Number.MAX_VALUE,
  );
  const isAlone = waitingOrganisations.length === 0;
  const start = Math.max(served[organisation] ?? 0, isAlone ? 0 : floor);
  return { ...served, [organisation]: start + tokens / Math.max(1, rate) };
}
