import t from 'tap';
import { runSoak } from './soak/runSoak.js';
import { FaultKind } from './soak/types.js';

const LENGTH_MS = 12_000;

t.test('keeps all guarantees while the store is restored from copies', async (t) => {
  const { faults, violations } = await runSoak({
    seed: 41,
    lengthMs: LENGTH_MS,
    kinds: [
      FaultKind.restore,
      FaultKind.kill,
      FaultKind.pause,
      FaultKind.storeLink,
      FaultKind.configuration,
      FaultKind.engineDrain,
    ],
  });
  t.ok(faults.filter(({ kind }) => kind === FaultKind.restore).length > 1);
  t.same(violations, []);
});
