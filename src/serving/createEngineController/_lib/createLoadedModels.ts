/** A model and its loaded adapters, as listed in an engine's report or registration. */
export interface ModelWithAdapters {
  name: string;
  adapters: readonly string[];
}

/** Models and adapters that are loaded on an engine. */
export interface LoadedModels {
  /** Time of the last request for each adapter, by model and adapter. */
  models: Map<string, Map<string, number>>;
  /** Replaces models and adapters by those of a report, keeping the times of known adapters. */
  replaceAll: (listed: readonly ModelWithAdapters[], nowMs: number) => void;
  /** Updates the models from a registration; adapters of the remaining models are kept. */
  updateModels: (listed: readonly ModelWithAdapters[]) => void;
  isEqualTo: (listed: readonly ModelWithAdapters[]) => boolean;
  countAdapters: () => number;
  /** Lists the adapters as `MODEL/ADAPTER`. */
  listAdapters: () => string[];
}

/** Creates the empty record of an engine's models and adapters. */
export function createLoadedModels(): LoadedModels {
  const models = new Map<string, Map<string, number>>();
  return {
    models,
    replaceAll: (listed, nowMs) => {
      const previous = new Map(models);
      models.clear();
      for (const { name, adapters } of listed) {
        const previousAdapters = previous.get(name);
        models.set(
          name,
          new Map(adapters.map((adapter) => [adapter, previousAdapters?.get(adapter) ?? nowMs])),
        );
      }
    },
    updateModels: (listed) => {
      const names = new Set(listed.map(({ name }) => name));
      for (const name of models.keys()) if (!names.has(name)) models.delete(name);
      for (const name of names) if (!models.has(name)) models.set(name, new Map());
    },
    isEqualTo: (listed) =>
      listed.length === models.size &&
      listed.every(({ name, adapters }) => {
        const loadedAdapters = models.get(name);
        return (
          loadedAdapters?.size === adapters.length &&
          adapters.every((adapter) => loadedAdapters.has(adapter))
        );
      }),
    countAdapters: () => [...models.values()].reduce((sum, adapters) => sum + adapters.size, 0),
    listAdapters: () =>
      [...models].flatMap(([model, adapters]) =>
        [...adapters.keys()].map((adapter) => `${model}/${adapter}`),
      ),
  };
}
