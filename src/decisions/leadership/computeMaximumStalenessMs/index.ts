/** Times within which changes in the store must be in force on all hosts, in milliseconds. */
export interface ChangeDelays {
  configurationDelayMs: number;
  drainingDelayMs: number;
  /** Undefined in a deployment without evacuations. */
  evacuationDelayMs?: number;
}

/** From the last check of a request to its arrival at an engine: a slow host and the network between. */
const SEND_MARGIN_MS = 500;
/** With less, a host would have to ask the store again before a watch of it could be answered. */
const MIN_EVACUATION_STALENESS_MS = 2000;

/**
 * Computes how old what a host knows of the store may be. Hosts read the configuration, the servers
 * and the evacuations on the same watches and views, so that the shortest of the times holds for all.
 */
export function computeMaximumStalenessMs(delays: ChangeDelays): number {
  const { configurationDelayMs, drainingDelayMs, evacuationDelayMs = Infinity } = delays;
  return Math.min(
    configurationDelayMs,
    drainingDelayMs,
    Math.max(MIN_EVACUATION_STALENESS_MS, evacuationDelayMs - SEND_MARGIN_MS),
  );
}
