import type { BundleRoute } from '../../../decisions/bundle/types.js';

function isMatch(route: BundleRoute, method: string, path: string): boolean {
  if (route.method !== method) return false;
  if (!route.path.endsWith('/*')) return route.path === path;
  return path.startsWith(route.path.slice(0, -1));
}

/** Finds the route of a request: exact paths take precedence over prefixes, longer prefixes over shorter ones. */
export function findRoute(
  routes: readonly BundleRoute[],
  method: string,
  path: string,
): BundleRoute | undefined {
  // A backend server could normalise such a path to one that the route does not match.
  if (path.includes('/../') || path.endsWith('/..') || path.includes('//')) return undefined;
  return routes
    .filter((route) => isMatch(route, method, path))
    .sort((one, other) => {
      const isOneExact = !one.path.endsWith('/*');
      const isOtherExact = !other.path.endsWith('/*');
      if (isOneExact !== isOtherExact) return isOneExact ? -1 : 1;
      return other.path.length - one.path.length;
    })[0];
}
