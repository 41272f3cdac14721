import type { EnginePool, ServingModel } from '../../../ports/serving.js';

/** Sizes of the models of one engine, also of those that the configuration no longer lists. */
export interface ModelSizes {
  /** Replaces the listed models; those that the engine still holds keep their size. */
  setPool: (pool: EnginePool, held: readonly string[]) => void;
  /**
   * Computes the megabytes of the held models, of one to be loaded, and of all adapter slots at the largest adapter.
   */
  computeReservedMb: (held: readonly string[], added?: string) => number;
  /** Megabytes of the held models that the configuration does not list, by name. */
  listDelistedMb: (held: readonly string[]) => Map<string, number>;
}

/**
 * Creates the sizes of the models in a pool. Models that this leader never saw in a configuration are taken to fill
 * what the others leave of the engine's memory, as their sizes are not known.
 */
export function createModelSizes(firstPool: EnginePool): ModelSizes {
  let pool = firstPool;
  let specs = new Map(firstPool.models.map((model) => [model.name, model]));

  const findHeld = (held: readonly string[]): ServingModel[] =>
    held.flatMap((name) => specs.get(name) ?? []);
  const computeAdaptersMb = (held: readonly string[]): number => {
    const largest = Math.max(
      0,
      ...[...pool.models, ...findHeld(held)].map(({ adapterMb }) => adapterMb),
    );
    return largest * pool.adapterSlots;
  };
  const computeKnownMb = (held: readonly string[]): number =>
    findHeld(held).reduce((sum, { weightsMb }) => sum + weightsMb, computeAdaptersMb(held));

  return {
    setPool: (next, held) => {
      const kept = findHeld(held).map((model) => [model.name, model] as const);
      pool = next;
      specs = new Map([...kept, ...next.models.map((model) => [model.name, model] as const)]);
    },
    computeReservedMb: (held, added) => {
      const addedMb =
        added === undefined || held.includes(added) ? 0 : (specs.get(added)?.weightsMb ?? 0);
      const knownMb = computeKnownMb(held);
      const isKnown = held.every((name) => specs.has(name));
      return (isKnown ? knownMb : Math.max(knownMb, pool.weightsMb)) + addedMb;
    },
    listDelistedMb: (held) => {
      const listed = new Set(pool.models.map(({ name }) => name));
      const unknown = held.filter((name) => !specs.has(name));
      const unknownMb = Math.max(0, pool.weightsMb - computeKnownMb(held)) / unknown.length;
      return new Map(
        held
          .filter((name) => !listed.has(name))
          .map((name) => [name, specs.get(name)?.weightsMb ?? unknownMb]),
      );
    },
  };
}
