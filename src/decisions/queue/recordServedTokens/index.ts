import type { VirtualServiceTimes } from '../types.js';

/**
 * Adds served tokens, divided by the rate, to an organisation's virtual service time. An
 * organisation that was idle starts at the least virtual time of the waiting ones, so idle time
 * earns no credit.
 */
export function recordServedTokens(
  served: VirtualServiceTimes,
  organisation: string,
  tokens: number,
  rate: number,
  waitingOrganisations: readonly string[],
): VirtualServiceTimes {
  const minVirtualTime = Math.min(
    ...waitingOrganisations.map((name) => served[name] ?? 0),
    Number.MAX_VALUE,
  );
  const isNobodyWaiting = waitingOrganisations.length === 0;
  const start = Math.max(served[organisation] ?? 0, isNobodyWaiting ? 0 : minVirtualTime);
  return { ...served, [organisation]: start + tokens / Math.max(1, rate) };
}
