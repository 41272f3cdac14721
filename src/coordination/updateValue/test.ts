import fc from 'fast-check';
import t from 'tap';
import {
  CallOutcome,
  createInProcessKeyValueService,
} from '../../standin/keyValueService/createInProcessKeyValueService.js';
import { createKeyValueStore } from '../../standin/keyValueService/createKeyValueStore.js';
import { parseStored, updateValue } from './index.js';

const callOutcomes = fc.array(fc.constantFrom(...Object.values(CallOutcome)), { maxLength: 8 });

t.test('applies each update exactly once when calls and responses are lost', async () => {
  const property = fc.asyncProperty(
    fc.array(callOutcomes, { minLength: 1, maxLength: 4 }),
    async (writers) => {
      const store = createKeyValueStore(() => 0);
      const updates = writers.map((list) => {
        const remainingOutcomes = [...list];
        const service = createInProcessKeyValueService(
          store,
          () => remainingOutcomes.shift() ?? CallOutcome.answered,
        );
        return updateValue<number, number>(
          service,
          'count',
          (count = 0) => ({ body: count + 1, result: count + 1 }),
          {
            attempts: 20,
            backoffMs: 0,
          },
        );
      });
      const results = (await Promise.all(updates)).map(({ result }) => result);
      const body = parseStored<number>(await createInProcessKeyValueService(store).get('count'));
      return body === writers.length && new Set(results).size === writers.length;
    },
  );
  await fc.assert(property, { seed: 6, numRuns: 300 });
});

t.test('rejects when the service stays unavailable', async (t) => {
  const service = createInProcessKeyValueService(
    createKeyValueStore(() => 0),
    () => CallOutcome.requestLost,
  );
  const update = updateValue<number, undefined>(
    service,
    'count',
    () => ({ body: 1, result: undefined }),
    {
      attempts: 3,
      backoffMs: 0,
    },
  );
  await t.rejects(update, { name: 'KeyValueServiceError' });
});

t.test('writes nothing when writes are no longer allowed', async (t) => {
  const store = createKeyValueStore(() => 0);
  const update = updateValue<number, undefined>(
    createInProcessKeyValueService(store),
    'count',
    () => ({ body: 1, result: undefined }),
    { isWriteAllowed: () => false },
  );
  await t.rejects(update, { name: 'KeyValueServiceError' });
  t.equal(store.getRevision(), 0);
});
