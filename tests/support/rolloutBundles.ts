import type { Bundle } from '#dist/decisions/bundle/types.js';
import type { Ledger, LedgerItem } from '#dist/decisions/ledger/types.js';

/** Memory of each engine: the minimum that the bundle check accepts for these models. */
export const ENGINE_MEMORY_BYTES = 78;
/** Maximum time in milliseconds between sending an order and its delivery. */
export const MAX_ORDER_AGE_MS = 1500;

/** Builds a version of the bundle; model versions change, and every third version omits elm. */
export const buildBundleVersion = (version: number): Bundle => ({
  version,
  services: [{ name: 's', engines: 3, memoryBytes: ENGINE_MEMORY_BYTES, window: 8 }],
  models: [
    {
      name: 'oak',
      version: `v${version}`,
      service: 's',
      bytes: 30,
      replicas: 2,
      class: 'standard',
    },
    {
      name: 'pine',
      version: `v${Math.ceil(version / 2)}`,
      service: 's',
      bytes: 35,
      replicas: 1,
      class: 'standard',
    },
    ...(version % 3 === 0
      ? []
      : [
          {
            name: 'elm',
            version: 'v1',
            service: 's',
            bytes: 20,
            replicas: 1,
            class: 'standard' as const,
          },
        ]),
  ],
  adapters: [{ name: 'depot', version: `v${version}`, model: 'oak', bytes: 5 }],
  plainServices: [],
  routes: [],
  organisations: [],
  limits: { loadsPerSecond: 10, loadsAtOnce: 4, adaptersInFlight: 24 },
});

/** Number of rounds within which a rollout must complete. */
export const MAX_ROLLOUT_ROUNDS = 60;

/** Tells whether the ledger has all replicas and only resident items of the bundle's versions. */
export function isRolloutComplete(bundle: Bundle, { engines }: Ledger): boolean {
  const items = Object.values(engines).flatMap((engine) => engine.items);
  const expectedVersions = [...bundle.models, ...bundle.adapters].map(
    ({ name, version }) => `${name}@${version}`,
  );
  const isCurrent = ({ name, version, state }: LedgerItem): boolean =>
    state === 'resident' && expectedVersions.includes(`${name}@${version}`);
  const hasReplicas = bundle.models.every(
    ({ name, replicas }) => items.filter((item) => item.name === name).length >= replicas,
  );
  return items.every(isCurrent) && hasReplicas;
}
