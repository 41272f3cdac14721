import type { KeyValueEntry, KeyValueService } from '../../ports/keyValueService.js';
import type { KeyValueStore } from './createKeyValueStore.js';

/** What happens to one call of a key-value service. */
export const CallOutcome = {
  answered: 'answered',
  /** It never reaches the service. */
  requestLost: 'lost',
  /** It takes effect, but its answer is lost. */
  responseLost: 'answerLost',
} as const;
export type CallOutcome = (typeof CallOutcome)[keyof typeof CallOutcome];

/** Creates a key-value service over a store in this process; the fates are asked for one call after another. */
export function createInProcessKeyValueService(
  store: KeyValueStore,
  nextFate: () => CallOutcome = () => CallOutcome.answered,
): KeyValueService {
  const call = async <Result>(run: () => Result): Promise<Result> => {
    await Promise.resolve();
    const fate = nextFate();
    if (fate === CallOutcome.requestLost) throw new Error('the call was lost');
    const result = run();
    if (fate === CallOutcome.responseLost) throw new Error('the answer was lost');
    return result;
  };
  const read = (key: string): KeyValueEntry | undefined => {
    const stored = store.get(key);
    return stored === undefined ? undefined : { value: stored.value, revision: stored.modRevision };
  };
  return {
    get: (key) => call(() => read(key)),
    compareAndSwap: (key, expectedRevision, value, { lease = '0' } = {}) =>
      call(() => {
        const current = read(key);
        if ((current?.revision ?? 0) !== expectedRevision) return { swapped: false, current };
        return { swapped: true, revision: store.set(key, value, lease) };
      }),
    grantLease: (seconds) => call(() => store.grantLease(seconds)),
    renewLease: (lease) => call(() => store.renewLease(lease) > 0),
    releaseLease: (lease) => call(() => store.releaseLease(lease)),
    watch: (key, onChange, signal) =>
      new Promise((_resolve, reject) => {
        const stop = store.watch((event) => {
          if (event.key === key) onChange(read(key));
        });
        signal.addEventListener('abort', () => {
          stop();
          reject(new Error('the watch ended'));
        });
        onChange(read(key));
      }),
  };
}
