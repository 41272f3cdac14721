import type { ServingRoute } from '../../../ports/serving.js';

/** Routes by host name and path prefix. */
export type RouteTable = ReadonlyMap<string, ReadonlyMap<string, ServingRoute>>;

/** Builds the table in which findServingRoute looks up routes. */
export function buildRouteTable(routes: readonly ServingRoute[]): RouteTable {
  const table = new Map<string, Map<string, ServingRoute>>();
  for (const route of routes) {
    const prefixes = table.get(route.hostName) ?? new Map<string, ServingRoute>();
    prefixes.set(route.prefix, route);
    table.set(route.hostName, prefixes);
  }
  return table;
}

function readPath(target: string): string {
  const query = target.indexOf('?');
  return query < 0 ? target : target.slice(0, query);
}

/**
 * Finds the route of a request: the one of its host name with the longest matching path prefix.
 * Prefixes end with a slash.
 */
export function findServingRoute(
  table: RouteTable,
  host: string,
  target: string,
): ServingRoute | undefined {
  const name = host.toLowerCase();
  const prefixes = table.get(name) ?? table.get(name.replace(/:\d+$/, ''));
  if (prefixes === undefined) return undefined;
  const path = readPath(target);
  let end = path.lastIndexOf('/');
  while (end >= 0) {
    const route = prefixes.get(path.slice(0, end + 1));
    if (route !== undefined) return route;
    end = end === 0 ? -1 : path.lastIndexOf('/', end - 1);
  }
  return undefined;
}
