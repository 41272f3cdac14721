import t from 'tap';
import { planReplicaMove } from '#dist/decisions/replicas/planReplicaMove/index.js';
import type { EngineSnapshot, ModelDemand } from '#dist/decisions/replicas/types.js';

const WEIGHTS_MB = 65_000;
const model = (name: string, demand: number): ModelDemand => ({
  name,
  weightsMb: WEIGHTS_MB,
  demand,
});
const buildEngine = (id: string, models: readonly string[]): EngineSnapshot => ({
  id,
  models,
  usedMb: WEIGHTS_MB * models.length,
  capacityMb: 200_000,
  canLoad: true,
  busyModels: new Set(),
  utilisation: 0,
  acceptance: 1,
});

/** Replays long prompts for one model at 1.5 times what an engine processes; returns the work that waits in all. */
function replayLongPrompts(backlogWeight: number): number {
  const hot = model('hot', 9000);
  const idle = Array.from({ length: 11 }, (_, index) => model(`i${index}`, 0));
  const names = idle.map(({ name }) => name);
  let engines = ['a', 'b', 'c', 'd'].map((id, index) =>
    buildEngine(id, index === 0 ? ['hot', 'i9', 'i10'] : names.slice(3 * index - 3, 3 * index)),
  );
  const backlogs = new Map<string, number>();
  let waiting = 0;
  for (let second = 0; second < 30; second += 1) {
    const holders = engines.filter(({ models }) => models.includes('hot'));
    for (const { id } of holders) {
      const backlog = Math.max(0, (backlogs.get(id) ?? 0) + 1.5 / holders.length - 1);
      backlogs.set(id, backlog);
      waiting += backlog;
    }
    const loaded = engines.map((engine) => ({
      ...engine,
      utilisation: engine.models.includes('hot') ? 0.2 : 0,
      backlogUtilisation: backlogWeight * (backlogs.get(engine.id) ?? 0),
    }));
    const move = planReplicaMove(loaded, [hot, ...idle]);
    engines = engines.map((engine) =>
      engine.id === move?.engine
        ? buildEngine(engine.id, [
            ...engine.models.filter((name) => !move.unload.includes(name)),
            move.load,
          ])
        : engine,
    );
  }
  return waiting;
}

// Guards against prompts that wait for good at an engine most of whose slots are free.
t.test('makes room for a model with long prompts before its backlog grows', (t) => {
  const [before, after] = [replayLongPrompts(0), replayLongPrompts(1)];
  t.ok(after < before / 2, `${after} seconds of work wait, ${before} before`);
  t.end();
});
