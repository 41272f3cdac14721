import { buildConfiguration } from '../support/platformFleet.js';

/** Organisations of the callers: one sends more than its rate allows, the other has no rate limit. */
export const SoakOrganisation = { limited: 'limited', depots: 'depots' } as const;
export type SoakOrganisation = (typeof SoakOrganisation)[keyof typeof SoakOrganisation];

/** Rate of the limited organisation in tokens per second: about eleven long requests per second. */
export const LIMITED_RATE = 100_000;
/** Burst of the limited organisation in tokens. */
export const LIMITED_BURST = 200_000;

/** The service whose engines start cold. */
export const COLD_SERVICE = 'llm';
/** Longest time for which engines are cold. */
export const COLD_START_MS = 9000;
/** Requests per second that a cold engine tolerates. */
export const COLD_PER_S = 8;

/** Builds the path prefix of the route that only this version of the configuration has. */
export function buildProbePath(version: number): string {
  return `/at-${version}/`;
}

/** Builds the API key that only this version of the configuration accepts. */
export function buildProbeKey(version: number): string {
  return `probe-${version}`;
}

/** Builds a version of the configuration: the routes of the tests, and one route and one key that only this version has. */
export function buildSoakConfiguration(version: number): unknown {
  const base = buildConfiguration(version) as {
    routes: object[];
    services: { name: string }[];
    tenants: object[];
  };
  const coldStarts = { cold_start_s: COLD_START_MS / 1000, cold_per_s: COLD_PER_S };
  const { depots, limited } = SoakOrganisation;
  const unlimited = { plain_tokens: 10, rate_per_s: 0, burst: 0 };
  const rate = { plain_tokens: 10, rate_per_s: LIMITED_RATE, burst: LIMITED_BURST };
  return {
    ...base,
    services: base.services.map((service) =>
      service.name === COLD_SERVICE ? { ...service, ...coldStarts } : service,
    ),
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
