import fc from 'fast-check';
import t from 'tap';
import { listCandidates } from '#dist/decisions/routing/listCandidates/index.js';
import { ReportedState } from '#dist/ports/engine.js';
import { runSimulation, stepArbitrary } from './support/placementSimulation.js';
import { ENGINE_MEMORY_BYTES } from './support/rolloutBundles.js';

const fitsInMemory = ({ usedBytes }: { usedBytes: number[] }): boolean =>
  usedBytes.every((bytes) => bytes <= ENGINE_MEMORY_BYTES);

for (const checksFencing of [true, false])
  t.test(
    `never overcommits memory of engines that ${checksFencing ? 'check' : 'ignore'} fencing tokens`,
    (t) => {
      const steps = fc.array(stepArbitrary, { minLength: 50, maxLength: 300, size: 'max' });
      const property = fc.property(steps, (simulationSteps) =>
        runSimulation(simulationSteps, { checksFencing, check: fitsInMemory }),
      );
      fc.assert(property, { seed: 11, numRuns: 1500 });
      t.end();
    },
  );

for (const checksFencing of [true, false])
  t.test(
    `completes a rollout, engines ${checksFencing ? 'check' : 'ignore'} fencing tokens`,
    (t) => {
      const steps = fc.array(stepArbitrary, { minLength: 1, maxLength: 200, size: 'max' });
      const property = fc.property(steps, (simulationSteps) =>
        runSimulation(simulationSteps, {
          checksFencing,
          requiresCompletion: true,
          check: () => true,
        }),
      );
      fc.assert(property, { seed: 13, numRuns: 300 });
      t.end();
    },
  );

t.test('keeps models and adapters routable during rollouts without engine restarts', (t) => {
  const steps = fc.array(
    stepArbitrary.filter(({ kind }) => kind !== 'restart'),
    { minLength: 100, maxLength: 300, size: 'max' },
  );
  const property = fc.property(steps, (simulationSteps) => {
    const routableBefore = new Set<string>();
    return runSimulation(simulationSteps, {
      checksFencing: true,
      check: ({ ledger, engines, hosts, bundle }) => {
        const hostsById = new Map(hosts.map((host) => [host.id, host]));
        return ['oak', 'pine', 'depot'].every((name) => {
          const routable = listCandidates(bundle, ledger, hostsById, name).some(
            ({ engine, engineModel }) => {
              const engineItem = engines.find(({ id }) => id === engine)?.items.get(engineModel);
              return engineItem?.state === ReportedState.resident;
            },
          );
          if (routable) routableBefore.add(name);
          return routable || !routableBefore.has(name);
        });
      },
    });
  });
  fc.assert(property, { seed: 12, numRuns: 1500 });
  t.end();
});
