import t from 'tap';
import type { EngineSnapshot, ModelDemand } from '../../types.js';
import { planReplicaMove } from '../index.js';

const CAPACITY_MB = 200_000;
const model = (name: string, demand: number, weightsMb = 65_000): ModelDemand => ({
  name,
  weightsMb,
  demand,
});

function buildEngine(id: string, loaded: readonly ModelDemand[], canLoad = true): EngineSnapshot {
  const usedMb = loaded.reduce((sum, { weightsMb }) => sum + weightsMb, 0);
  return {
    id,
    models: loaded.map(({ name }) => name),
    usedMb,
    capacityMb: CAPACITY_MB,
    canLoad,
    busyModels: new Set(),
    utilisation: 0,
    acceptance: 1,
  };
}

t.test('loads a busy model on another engine when its own take few of its requests', (t) => {
  const hot = model('hot', 100);
  const rare = model('rare', 1);
  const others = Array.from({ length: 6 }, (_, index) => model(`other-${index}`, 20));
  const limited = { acceptance: 0.2, utilisation: 0.8 };
  const engines = [
    { ...buildEngine('limited-1', [hot, rare]), ...limited },
    { ...buildEngine('limited-2', [hot, ...others.slice(0, 1)]), ...limited },
    { ...buildEngine('limited-3', others.slice(1, 2)), ...limited },
    buildEngine('free-1', others.slice(0, 2)),
    buildEngine('free-2', others.slice(2, 5)),
  ];
  t.match(planReplicaMove(engines, [hot, rare, ...others]), { engine: 'free-1', load: 'hot' });
  t.end();
});

t.test('engines that all take few requests are planned like engines that take all', (t) => {
  const models = Array.from({ length: 4 }, (_, index) => model(`m${index}`, 10 * index));
  const engines = models.map((item, index) => buildEngine(`e${index}`, [item]));
  const limited = engines.map((engine) => ({ ...engine, acceptance: 0.6 }));
  t.equal(planReplicaMove(limited, models)?.load, planReplicaMove(engines, models)?.load);
  t.end();
});

t.test(
  'half of the engines turn cold: no missing model goes to them while a warm one has room',
  (t) => {
    const models = [
      { ...model('busy', 900), loadMs: 3000 },
      { ...model('idle', 0), loadMs: 3000 },
    ];
    const cold = { ...buildEngine('cold', []), coldMs: 9000 };
    const warm = buildEngine('warm', [model('other', 500)]);
    const plan = (...engines: EngineSnapshot[]) => planReplicaMove(engines, models)?.engine;
    t.equal(plan({ ...cold, coldMs: 0 }, warm), 'cold', 'the emptiest one by the previous rule');
    t.equal(plan(cold, warm), 'warm');
    t.equal(plan(cold, { ...warm, canLoad: false }), undefined, 'the load waits for the warm one');
    t.equal(plan({ ...cold, coldMs: 2000 }, warm), 'cold', 'warm once the model is loaded');
    t.equal(plan(cold), 'cold', 'no other engine');
    const idle = models.slice(1);
    t.equal(planReplicaMove([cold], idle)?.engine, 'cold', 'the whole system has just started');
    t.equal(planReplicaMove([cold, { ...warm, canLoad: false }], idle), undefined);
    const holder = { ...buildEngine('holder', [model('busy', 900)]), canLoad: false };
    t.equal(plan(cold, holder), undefined, 'a further replica can wait');
    t.end();
  },
);

// The memory that their unloading frees would count as 0, so that a model in demand found no engine.
t.test('models that the configuration no longer lists make room', (t) => {
  const wanted = { name: 'wanted', weightsMb: 65_000, demand: 10 };
  const engine = {
    id: 'e1',
    models: ['old'],
    usedMb: 190_000,
    capacityMb: 200_000,
    canLoad: true,
    busyModels: new Set<string>(),
    utilisation: 0,
    acceptance: 1,
    delistedMb: new Map([['old', 65_000]]),
  };
  t.match(planReplicaMove([engine], [wanted]), { engine: 'e1', load: 'wanted', unload: ['old'] });
  t.end();
});
