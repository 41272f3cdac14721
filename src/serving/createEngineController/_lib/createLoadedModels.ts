import type { EnginePool } from '../../../ports/serving.js';

/** A model with the adapters of it, as an engine or an entry names them. */
export interface ModelWithAdapters {
  name: string;
  adapters: readonly string[];
}

/** What an engine holds, with the moment at which each adapter was last asked for. */
export interface LoadedModels {
  models: Map<string, Map<string, number>>;
  /** Takes what the engine has reported. */
  replaceAll: (held: readonly ModelWithAdapters[], nowMs: number) => void;
  /** Takes which models are there from an entry; adapters stay until a report says more. */
  updateModels: (held: readonly ModelWithAdapters[]) => void;
  isEqualTo: (held: readonly ModelWithAdapters[]) => boolean;
  countAdapters: () => number;
  /** Adapters as `MODEL/ADAPTER`. */
  listAdapters: () => string[];
}

/** Creates the holdings of an engine. */
export function createLoadedModels(): LoadedModels {
  const models = new Map<string, Map<string, number>>();
  return {
    models,
    replaceAll: (held, nowMs) => {
      const before = new Map(models);
      models.clear();
      for (const { name, adapters } of held) {
        const known = before.get(name);
        models.set(
          name,
          new Map(adapters.map((adapter) => [adapter, known?.get(adapter) ?? nowMs])),
        );
      }
    },
    updateModels: (held) => {
      const names = new Set(held.map(({ name }) => name));
      for (const name of models.keys()) if (!names.has(name)) models.delete(name);
      for (const name of names) if (!models.has(name)) models.set(name, new Map());
    },
    isEqualTo: (held) =>
      held.length === models.size &&
      held.every(({ name, adapters }) => {
        const known = models.get(name);
        return known?.size === adapters.length && adapters.every((adapter) => known.has(adapter));
      }),
    countAdapters: () => [...models.values()].reduce((sum, adapters) => sum + adapters.size, 0),
    listAdapters: () =>
      [...models].flatMap(([model, adapters]) =>
        [...adapters.keys()].map((adapter) => `${model}/${adapter}`),
      ),
  };
}

/** Computes the megabytes of some models, with room for adapters in all places. */
export function computeReservedMb(pool: EnginePool, held: Iterable<string>): number {
  const sizes = new Map(pool.models.map(({ name, weightsMb }) => [name, weightsMb]));
  const weights = [...held].reduce((sum, model) => sum + (sizes.get(model) ?? 0), 0);
  const largest = Math.max(0, ...pool.models.map(({ adapterMb }) => adapterMb));
  return weights + largest * pool.adapterSlots;
}
