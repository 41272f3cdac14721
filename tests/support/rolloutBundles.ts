import type { Bundle } from '#dist/decisions/bundle/types.js';
import type { Ledger, LedgerItem } from '#dist/decisions/ledger/types.js';

/** Memory of each engine: the least that the bundle check allows. */
export const ENGINE_MEMORY_BYTES = 78;
/** Longest time for which an order is on its way. */
export const MAX_ORDER_AGE_MS = 1500;

/** Builds the bundle of a version; models come, go and change from one to the next. */
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

/** Rounds in which a roll must come to its end. */
export const MAX_ROLLOUT_ROUNDS = 60;

/** Tells whether the ledger holds the bundle's versions, all resident, with their replicas and nothing else. */
export function isRolloutComplete(bundle: Bundle, { engines }: Ledger): boolean {
  const items = Object.values(engines).flatMap((engine) => engine.items);
  const wanted = [...bundle.models, ...bundle.adapters].map(
    ({ name, version }) => `${name}@${version}`,
  );
  const isCurrent = ({ name, version, state }: LedgerItem): boolean =>
    state === 'resident' && wanted.includes(`${name}@${version}`);
  const hasReplicas = bundle.models.every(
    ({ name, replicas }) => items.filter((item) => item.name === name).length >= replicas,
  );
  return items.every(isCurrent) && hasReplicas;
}
