import type { KeyValueEntry, KeyValueService } from '../../ports/keyValueService.js';
import type { KeyValueStore } from './createKeyValueStore.js';

/** Simulated outcome of one call of a key-value service. */
export const CallOutcome = {
  answered: 'answered',
  /** The call fails before it takes effect. */
  requestLost: 'lost',
  /** The call takes effect, but its response is lost. */
  responseLost: 'answerLost',
} as const;
export type CallOutcome = (typeof CallOutcome)[keyof typeof CallOutcome];

/** Creates a key-value service over an in-memory store; `nextOutcome` gives the outcome of each call in turn. */
export function createInProcessKeyValueService(
  store: KeyValueStore,
  nextOutcome: () => CallOutcome = () => CallOutcome.answered,
): KeyValueService {
  const call = async <Result>(run: () => Result): Promise<Result> => {
    await Promise.resolve();
    const outcome = nextOutcome();
    if (outcome === CallOutcome.requestLost) throw new Error('simulated loss of the request');
    const result = run();
    if (outcome === CallOutcome.responseLost) throw new Error('simulated loss of the response');
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
          reject(new Error('watch aborted'));
        });
        onChange(read(key));
      }),
  };
}
