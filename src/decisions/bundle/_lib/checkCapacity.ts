import { LOAN_DEADLINE_MS, MILLISECONDS_PER_SECOND } from '../../rate/constants/index.js';
import type { Bundle } from '../types.js';
import type { UnlocatedFinding } from './checkReferences.js';

/** Adds up the memory that one copy of a model takes with all of its adapters. */
export function computeReplicaBytes(bundle: Bundle, modelName: string): number {
  const model = bundle.models.find(({ name }) => name === modelName);
  const adapters = bundle.adapters.filter(({ model: base }) => base === modelName);
  return adapters.reduce((sum, { bytes }) => sum + bytes, model?.bytes ?? 0);
}

/**
 * Checks that every service holds its copies and keeps, on each engine, room for its largest copy:
 * then some engine always has room for the next copy of a roll.
 */
function checkMemory(bundle: Bundle): UnlocatedFinding[] {
  return bundle.services.flatMap((service, index): UnlocatedFinding[] => {
    const copies = bundle.models
      .filter((model) => model.service === service.name)
      .map(({ name, replicas }) => ({ bytes: computeReplicaBytes(bundle, name), replicas }));
    const largest = Math.max(0, ...copies.map(({ bytes }) => bytes));
    const needed = copies.reduce((sum, { bytes, replicas }) => sum + bytes * replicas, 0);
    const available = service.engines * (service.memoryBytes - largest);
    if (needed <= available) return [];
    return [
      {
        path: ['services', index, 'memoryBytes'],
        message:
          `copies need ${needed} bytes, but ${service.engines} engines hold ${Math.max(0, available)}` +
          ` beside room to roll the largest copy (${largest} bytes)`,
      },
    ];
  });
}

function checkReplicas(bundle: Bundle): UnlocatedFinding[] {
  return bundle.models.flatMap(({ service, replicas }, index): UnlocatedFinding[] => {
    const engines = bundle.services.find(({ name }) => name === service)?.engines;
    if (engines === undefined || replicas < engines) return [];
    const message = `${replicas} replicas leave no engine of ${engines} free for a roll`;
    return [{ path: ['models', index, 'replicas'], message }];
  });
}

function checkBursts(bundle: Bundle): UnlocatedFinding[] {
  return bundle.organisations.flatMap(({ rate, burst }, index): UnlocatedFinding[] => {
    const inFlight = Math.ceil((rate * LOAN_DEADLINE_MS) / MILLISECONDS_PER_SECOND);
    if (burst >= 2 * inFlight) return [];
    const message = `burst must be at least ${2 * inFlight}, twice what moves between hosts at this rate`;
    return [{ path: ['organisations', index, 'burst'], message }];
  });
}

/** Checks that a bundle fits its engines with room to roll, and its bursts their rates. */
export function checkCapacity(bundle: Bundle): UnlocatedFinding[] {
  return [...checkMemory(bundle), ...checkReplicas(bundle), ...checkBursts(bundle)];
}
