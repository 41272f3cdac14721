import type { KnownVersions } from '../types.js';

/**
 * Returns the version that all streams of a service were begun at which have no record; undefined unless
 * there is exactly one. A version that left lately counts, as its streams may still be resumed.
 */
export function findSoleVersion({ registered, recorded }: KnownVersions): string | undefined {
  const [sole] = recorded;
  if (sole === undefined || recorded.size > 1) return undefined;
  return [...registered].every((version) => version === sole) ? sole : undefined;
}
