import fc from 'fast-check';
import t from 'tap';
import { listCandidates } from '#dist/decisions/routing/listCandidates/index.js';
import { ReportedState } from '#dist/ports/engine.js';
import { runSimulation, stepArbitrary } from './support/placementSimulation.js';
import { ENGINE_MEMORY_BYTES } from './support/rolloutBundles.js';

const fits = ({ usedBytes }: { usedBytes: number[] }): boolean =>
  usedBytes.every((bytes) => bytes <= ENGINE_MEMORY_BYTES);

for (const checksFencing of [true, false])
  t.test(
    `never overcommits engines that ${checksFencing ? 'check' : 'ignore'} fencing numbers`,
    (t) => {
      const steps = fc.array(stepArbitrary, { minLength: 50, maxLength: 300, size: 'max' });
      const property = fc.property(steps, (list) =>
        runSimulation(list, { checksFencing, check: fits }),
      );
      fc.assert(property, { seed: 11, numRuns: 1500 });
      t.end();
    },
  );

for (const checksFencing of [true, false])
  t.test(
    `brings a roll to its end, engines ${checksFencing ? 'check' : 'ignore'} fencing numbers`,
    (t) => {
      const steps = fc.array(stepArbitrary, { minLength: 1, maxLength: 200, size: 'max' });
      const property = fc.property(steps, (list) =>
        runSimulation(list, { checksFencing, requiresCompletion: true, check: () => true }),
      );
      fc.assert(property, { seed: 13, numRuns: 300 });
      t.end();
    },
  );

t.test('keeps every model of both bundles routable through rolls', (t) => {
  const steps = fc.array(
    stepArbitrary.filter(({ kind }) => kind !== 'restart'),
    { minLength: 100, maxLength: 300, size: 'max' },
  );
  const property = fc.property(steps, (list) => {
    const reached = new Set<string>();
    return runSimulation(list, {
      checksFencing: true,
      check: ({ ledger, engines, hosts, bundle }) => {
        const listed = new Map(hosts.map((host) => [host.id, host]));
        return ['oak', 'pine', 'depot'].every((name) => {
          const routable = listCandidates(bundle, ledger, listed, name).some(
            ({ engine, engineModel }) => {
              const held = engines.find(({ id }) => id === engine)?.items.get(engineModel);
              return held?.state === ReportedState.resident;
            },
          );
          if (routable) reached.add(name);
          return routable || !reached.has(name);
        });
      },
    });
  });
  fc.assert(property, { seed: 12, numRuns: 1500 });
  t.end();
});
