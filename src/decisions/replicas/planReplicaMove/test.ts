import fc from 'fast-check';
import t from 'tap';
import type { EngineSnapshot, ModelDemand, ReplicaMove } from '../types.js';
import { planReplicaMove } from './index.js';

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

function applyMove(
  engines: readonly EngineSnapshot[],
  models: readonly ModelDemand[],
  move: ReplicaMove,
) {
  const byName = new Map(models.map((item) => [item.name, item]));
  return engines.map((engine) => {
    if (engine.id !== move.engine) return engine;
    const names = [...engine.models.filter((name) => !move.unload.includes(name)), move.load];
    return buildEngine(
      engine.id,
      names.map((name) => byName.get(name) ?? model(name, 0)),
    );
  });
}

t.test('loads a requested model that no engine has loaded', (t) => {
  const models = [model('busy', 900), model('spare', 0), model('idle', 0), model('rare', 5)];
  const [busy, spare, idle] = models as [ModelDemand, ModelDemand, ModelDemand];
  const engines = [buildEngine('a', [busy, spare, idle]), buildEngine('b', [busy, spare, idle])];
  const move = planReplicaMove(engines, models);
  t.equal(move?.load, 'rare');
  t.match(move?.unload, ['spare']);
  t.end();
});

t.test('adds replicas when demand shifts to a model with one replica', (t) => {
  const models = [model('before', 0), model('next', 9000), model('other', 300)];
  const [before, next, other] = models as [ModelDemand, ModelDemand, ModelDemand];
  let engines = [
    buildEngine('a', [before, other, next]),
    ...['b', 'c', 'd', 'e'].map((id) => buildEngine(id, [before, other])),
  ];
  let moves = 0;
  for (
    let move = planReplicaMove(engines, models);
    move !== undefined;
    move = planReplicaMove(engines, models)
  ) {
    engines = applyMove(engines, models, move);
    moves += 1;
    if (moves > 20) break;
  }
  const replicas = engines.filter(({ models: names }) => names.includes('next')).length;
  t.equal(replicas, 5);
  t.ok(moves <= 8, 'it reaches a stable state');
  t.end();
});

t.test(
  'never unloads the last replica of a requested model and never exceeds the memory of an engine',
  (t) => {
    const size = fc.constantFrom(34_300, 65_000, 72_700);
    const fleet = fc.record({
      sizes: fc.array(size, { minLength: 4, maxLength: 12 }),
      demands: fc.array(fc.nat(500), { minLength: 12, maxLength: 12 }),
      held: fc.array(fc.uniqueArray(fc.nat(11), { maxLength: 2 }), { minLength: 2, maxLength: 8 }),
    });
    const property = fc.property(fleet, ({ sizes, demands, held }) => {
      const models = sizes.map((weightsMb, index) =>
        model(`m${index}`, demands[index] ?? 0, weightsMb),
      );
      let engines = held.map((indexes, index) =>
        buildEngine(
          `e${index}`,
          indexes.flatMap((item) => models[item] ?? []),
        ),
      );
      const countReplicas = (name: string): number =>
        engines.filter(({ models: names }) => names.includes(name)).length;
      for (let step = 0; step < 30; step += 1) {
        const move = planReplicaMove(engines, models);
        if (move === undefined) return true;
        const isLast = move.unload.some(
          (name) =>
            countReplicas(name) < 2 && (models.find((item) => item.name === name)?.demand ?? 0) > 0,
        );
        engines = applyMove(engines, models, move);
        if (isLast || engines.some(({ usedMb }) => usedMb > CAPACITY_MB)) return false;
      }
      return true;
    });
    fc.assert(property, { seed: 21, numRuns: 200 });
    t.end();
  },
);

t.test('skips engines that cannot load, and plans nothing for evenly spread demand', (t) => {
  const models = [model('one', 100), model('two', 100)];
  const [one, two] = models as [ModelDemand, ModelDemand];
  t.equal(planReplicaMove([buildEngine('a', [one], false)], models), undefined);
  const even = [buildEngine('a', [one, two]), buildEngine('b', [one, two])];
  t.equal(planReplicaMove(even, models), undefined);
  t.end();
});

t.test('adds a replica of a model in high demand before it loads rarely requested models', (t) => {
  const models = [model('hot', 9000), model('rare', 3), model('idle', 0), model('spare', 0)];
  const [hot, , , spare] = models as [ModelDemand, ModelDemand, ModelDemand, ModelDemand];
  const engines = [buildEngine('a', [hot]), buildEngine('b', [spare]), buildEngine('c', [spare])];
  t.equal(planReplicaMove(engines, models)?.load, 'hot');
  const lowDemand = models.map((item) => (item.name === 'hot' ? { ...item, demand: 3 } : item));
  t.equal(planReplicaMove(engines, lowDemand)?.load, 'rare');
  t.end();
});

t.test('prefers to unload a replica that is not in use', (t) => {
  const models = [model('hot', 9000), model('one', 0), model('two', 0), model('three', 0)];
  const [hot, one, two, three] = models as [ModelDemand, ModelDemand, ModelDemand, ModelDemand];
  const busyModels = new Set(['one', 'two']);
  const engines = [
    buildEngine('a', [hot]),
    { ...buildEngine('b', [one, two, three]), busyModels },
    buildEngine('c', [one, two, three], false),
  ];
  t.match(planReplicaMove(engines, models)?.unload, ['three']);
  t.end();
});

t.test('unloads nothing for models that nobody requests', (t) => {
  const models = [model('popular', 0), model('other', 0), model('idle', 0)];
  const [popular, other] = models as [ModelDemand, ModelDemand];
  const full = ['a', 'b', 'c'].map((id) => buildEngine(id, [popular, other, popular]));
  t.equal(planReplicaMove(full, models), undefined);
  const withRoom = [...full, buildEngine('d', [popular])];
  t.match(planReplicaMove(withRoom, models), { engine: 'd', load: 'idle', unload: [] });
  t.end();
});

t.test('unloads one of several replicas before the last one of an idle model', (t) => {
  const models = [
    model('popular', 40),
    model('idle', 0),
    model('rare', 5),
    model('y', 90),
    model('z', 60),
  ];
  const [popular, idle, , y, z] = models as [
    ModelDemand,
    ModelDemand,
    ModelDemand,
    ModelDemand,
    ModelDemand,
  ];
  const engines = [
    buildEngine('a', [popular, idle, y]),
    buildEngine('b', [popular, y, z]),
    buildEngine('c', [popular, y, z]),
  ];
  t.match(planReplicaMove(engines, models), { load: 'rare', unload: ['popular'] });
  t.end();
});

t.test('makes room for a model on busy engines where another one is hardly requested', (t) => {
  const hot = model('hot', 200_000);
  const planBeside = (demand: number, utilisation: number) => {
    const other = model('other', demand, 190_000);
    const engines = [{ ...buildEngine('a', [hot]), utilisation }, buildEngine('b', [other])];
    return planReplicaMove(engines, [hot, other]);
  };
  t.match(planBeside(500, 1), { engine: 'b', load: 'hot', unload: ['other'] });
  t.equal(planBeside(500, 0.2), undefined, 'its engine serves the demand well');
  t.equal(planBeside(40_000, 1), undefined, 'the other one is requested too often');
  t.end();
});

t.test('leaves engines to models in demand while rare models take enough of them', (t) => {
  const models = [model('hot', 9000), model('rare', 3), model('spare', 0)];
  const [hot, , spare] = models as [ModelDemand, ModelDemand, ModelDemand];
  const engines = [buildEngine('a', [hot]), buildEngine('b', [hot, spare])];
  t.match(planReplicaMove(engines, models), { load: 'rare', isRare: true });
  t.equal(planReplicaMove(engines, models, { mayLoadRare: false }), undefined);
  const withThird = [...engines, buildEngine('c', [spare])];
  t.match(planReplicaMove(withThird, models, { mayLoadRare: false }), {
    load: 'hot',
    isRare: false,
  });
  t.end();
});

t.test('loads from a copy of the weights, also while the weight store is busy', (t) => {
  const models = [model('rare', 5), model('other', 10), model('spare', 3)];
  const [, other, spare] = models as [ModelDemand, ModelDemand, ModelDemand];
  const engines = [
    buildEngine('a', [other]),
    { ...buildEngine('b', [other, spare]), copies: new Set(['rare']) },
  ];
  t.equal(planReplicaMove(engines, models)?.engine, 'b');
  t.equal(planReplicaMove(engines, models, { mayUseStore: false })?.engine, 'b');
  const withoutCopy = [buildEngine('a', [other])];
  t.equal(planReplicaMove(withoutCopy, models, { mayUseStore: false }), undefined);
  t.end();
});

t.test('keeps busy models while the demand is known from the first requests only', (t) => {
  // The first requests were for one model; the busiest one has not been requested yet.
  const models = [
    model('first', 6000),
    model('busiest', 0),
    model('single', 0),
    model('rare', 600),
  ];
  const [first, busiest, single] = models as [ModelDemand, ModelDemand, ModelDemand];
  const engines = [
    buildEngine('a', [first, busiest, single]),
    ...['b', 'c', 'd'].map((id) => buildEngine(id, [busiest, busiest, busiest])),
  ];
  const settled = planReplicaMove(engines, models);
  t.equal(settled?.load, 'first');
  const unsettled = planReplicaMove(engines, models, { isDemandSettled: false });
  t.match(unsettled, { load: 'rare', unload: ['busiest'] });
  const full = [buildEngine('a', [first, busiest, single])];
  t.equal(planReplicaMove(full, models, { isDemandSettled: false }), undefined);
  t.end();
});

t.test('makes room for a busy model where engines hold the last replicas of idle ones', (t) => {
  const models = [
    model('hot', 200_000),
    model('warm', 100_000),
    model('steady', 50_000),
    ...['a', 'b', 'c', 'd', 'e', 'f'].map((name) => model(`idle-${name}`, 0)),
  ];
  const [hot, warm, steady, ...idle] = models as [
    ModelDemand,
    ModelDemand,
    ModelDemand,
    ...ModelDemand[],
  ];
  let engines = [
    { ...buildEngine('busy', [hot, warm, steady]), utilisation: 1.2 },
    buildEngine('first', idle.slice(0, 3)),
    buildEngine('second', idle.slice(3)),
  ];
  const unused = engines.map((engine) => ({ ...engine, utilisation: 0.1 }));
  t.equal(planReplicaMove(unused, models), undefined, 'its engine serves the demand well');
  const move = planReplicaMove(engines, models);
  t.match(move, { load: 'hot' });
  t.equal(move?.unload.length, 1);
  engines = move === undefined ? engines : applyMove(engines, models, move);
  t.equal(planReplicaMove(engines, models, { isDemandSettled: false }), undefined);
  t.end();
});

t.test('unloads the last replica of an idle model where the engine keeps a copy of it', (t) => {
  const idle = ['one', 'two', 'three', 'four', 'five'].map((name) => model(name, 0));
  const hot = model('hot', 9000);
  const models = [hot, ...idle];
  const engines = [
    { ...buildEngine('a', [hot, ...idle.slice(3)]), utilisation: 1 },
    { ...buildEngine('b', idle.slice(0, 3)), copies: new Set(['three']) },
  ];
  t.match(planReplicaMove(engines, models), { engine: 'b', load: 'hot', unload: ['three'] });
  t.end();
});

// Guards against models that nobody requests and that hold the places of a model whose prompts wait.
t.test('an idle model makes room for one whose prompts wait at all of its engines', (t) => {
  const hot = model('hot', 9000);
  const idle = ['i1', 'i2', 'i3', 'i4', 'i5'].map((name) => model(name, 0));
  const engines = (backlogUtilisation: number) => [
    { ...buildEngine('a', [hot, ...idle.slice(3)]), utilisation: 0.2, backlogUtilisation },
    buildEngine('b', idle.slice(0, 3)),
  ];
  t.equal(planReplicaMove(engines(0.2), [hot, ...idle]), undefined);
  const move = planReplicaMove(engines(0.8), [hot, ...idle]);
  t.match(move, { engine: 'b', load: 'hot' });
  t.equal(move?.unload.length, 1);
  t.end();
});
