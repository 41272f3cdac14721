import { buildConfiguration } from '../support/platformFleet.js';

/** The organisation that asks for more than its rate, and the one that does not. */
export const SoakOrganisation = { limited: 'limited', depots: 'depots' } as const;
export type SoakOrganisation = (typeof SoakOrganisation)[keyof typeof SoakOrganisation];

/** Tokens a second and burst of the limited organisation: about eleven long requests a second. */
export const LIMITED_RATE = 100_000;
/** Burst of the limited organisation in tokens. */
export const LIMITED_BURST = 200_000;

/** Path that only one version of the configuration has. */
export function buildProbePath(version: number): string {
  return `/at-${version}/`;
}

/** Key that only one version of the configuration has. */
export function buildProbeKey(version: number): string {
  return `probe-${version}`;
}

/** Builds a version: the usual routes, and a route and a key of its own. */
export function buildSoakConfiguration(version: number): unknown {
  const base = buildConfiguration(version) as { routes: object[]; tenants: object[] };
  const { depots, limited } = SoakOrganisation;
  const unlimited = { plain_tokens: 10, rate_per_s: 0, burst: 0 };
  const rate = { plain_tokens: 10, rate_per_s: LIMITED_RATE, burst: LIMITED_BURST };
  return {
    ...base,
    routes: [
      ...base.routes,
      {
        name: 'probe',
        host: 'depots.example',
        prefix: buildProbePath(version),
        route_type: 'safe',
        service: 'certs',
        timeout_ms: 3000,
        target_latency_ms: 400,
        priority: 1,
        max_attempts: 2,
      },
    ],
    tenants: [
      { name: depots, api_keys: [`key-${depots}`], ...unlimited },
      { name: limited, api_keys: [`key-${limited}`], ...rate },
      { name: 'probes', api_keys: [buildProbeKey(version)], ...unlimited },
    ],
  };
}
