import { LOAN_DEADLINE_MS, MILLISECONDS_PER_SECOND } from '../../rate/constants/index.js';
import type { Bundle } from '../types.js';
import type { UnlocatedFinding } from './checkReferences.js';

/** Computes the memory of one replica of a model with all of its adapters. */
export function computeReplicaBytes(bundle: Bundle, modelName: string): number {
  const model = bundle.models.find(({ name }) => name === modelName);
  const adapters = bundle.adapters.filter(({ model: base }) => base === modelName);
  return adapters.reduce((sum, { bytes }) => sum + bytes, model?.bytes ?? 0);
}

/**
 * Checks that the engines of each service can hold all replicas while every engine keeps room for
 * the service's largest replica. Some engine then always has room for the next replica of a rolling
 * update.
 */
function checkMemory(bundle: Bundle): UnlocatedFinding[] {
  return bundle.services.flatMap((service, index): UnlocatedFinding[] => {
    const models = bundle.models
      .filter((model) => model.service === service.name)
      .map(({ name, replicas }) => ({ bytes: computeReplicaBytes(bundle, name), replicas }));
    const largest = Math.max(0, ...models.map(({ bytes }) => bytes));
    const needed = models.reduce((sum, { bytes, replicas }) => sum + bytes * replicas, 0);
    const available = service.engines * (service.memoryBytes - largest);
    if (needed <= available) return [];
    return [
      {
        path: ['services', index, 'memoryBytes'],
        message:
          `replicas need ${needed} bytes, but ${service.engines} engines hold ${Math.max(0, available)}` +
          ` beside the room for a rolling update of the largest replica (${largest} bytes)`,
      },
    ];
  });
}

function checkReplicas(bundle: Bundle): UnlocatedFinding[] {
  return bundle.models.flatMap(({ service, replicas }, index): UnlocatedFinding[] => {
    const engines = bundle.services.find(({ name }) => name === service)?.engines;
    if (engines === undefined || replicas < engines) return [];
    const message = `${replicas} replicas leave none of ${engines} engines free for a rolling update`;
    return [{ path: ['models', index, 'replicas'], message }];
  });
}

function checkBursts(bundle: Bundle): UnlocatedFinding[] {
  return bundle.organisations.flatMap(({ rate, burst }, index): UnlocatedFinding[] => {
    const tokensInTransit = Math.ceil((rate * LOAN_DEADLINE_MS) / MILLISECONDS_PER_SECOND);
    if (burst >= 2 * tokensInTransit) return [];
    const message = `burst must be at least ${2 * tokensInTransit}, twice the tokens in transit between hosts at this rate`;
    return [{ path: ['organisations', index, 'burst'], message }];
  });
}

/**
 * Checks that the replicas of a bundle fit its engines with room for a rolling update, and that
 * every burst is large enough for its rate.
 */
export function checkCapacity(bundle: Bundle): UnlocatedFinding[] {
  return [...checkMemory(bundle), ...checkReplicas(bundle), ...checkBursts(bundle)];
}
