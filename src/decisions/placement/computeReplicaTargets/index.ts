import { computeReplicaBytes } from '../../bundle/_lib/checkCapacity.js';
import type { Bundle, BundleModel } from '../../bundle/types.js';
import type { Demand, PlacementEngine, ReplicaTargets } from '../types.js';

/** Demand in tokens a second that one copy is meant to carry before another is worth its memory. */
const TOKENS_PER_COPY = 200;

interface Growing {
  model: BundleModel;
  bytes: number;
  demand: number;
  copies: number;
}

function computeModelDemand(bundle: Bundle, demand: Demand): Map<string, number> {
  const totals = new Map(bundle.models.map(({ name }) => [name, demand[name] ?? 0]));
  for (const { name, model } of bundle.adapters)
    totals.set(model, (totals.get(model) ?? 0) + (demand[name] ?? 0));
  return totals;
}

function computeSpareBytes(growing: readonly Growing[], memory: readonly number[]): number {
  const largest = Math.max(0, ...growing.map(({ bytes }) => bytes));
  const usable = memory.reduce((sum, bytes) => sum + Math.max(0, bytes - largest), 0);
  return growing.reduce((sum, { bytes, copies }) => sum - bytes * copies, usable);
}

function findNeediest(
  growing: readonly Growing[],
  spare: number,
  most: number,
): Growing | undefined {
  return growing
    .filter(
      ({ bytes, copies, demand }) =>
        bytes <= spare && copies < most && demand > copies * TOKENS_PER_COPY,
    )
    .reduce<Growing | undefined>(
      (best, item) =>
        best === undefined || item.demand / item.copies > best.demand / best.copies ? item : best,
      undefined,
    );
}

function addCopies(growing: Growing[], spareBytes: number, most: number): ReplicaTargets {
  const counts = new Map(growing.map((item) => [item.model.name, item]));
  let spare = spareBytes;
  for (;;) {
    const neediest = findNeediest([...counts.values()], spare, most);
    if (neediest === undefined) break;
    counts.set(neediest.model.name, { ...neediest, copies: neediest.copies + 1 });
    spare -= neediest.bytes;
  }
  return Object.fromEntries([...counts].map(([name, { copies }]) => [name, copies]));
}

/**
 * Computes how many copies each model should have: the bundle's replicas, and more where demand asks
 * and memory allows beside the room that a roll needs.
 */
export function computeReplicaTargets(
  bundle: Bundle,
  demand: Demand,
  engines: readonly (PlacementEngine & { memoryBytes: number })[],
): ReplicaTargets {
  const modelDemand = computeModelDemand(bundle, demand);
  return bundle.services.reduce<ReplicaTargets>((targets, { name }) => {
    const open = engines.filter(({ service, leaving }) => service === name && !leaving);
    const growing = bundle.models
      .filter(({ service }) => service === name)
      .map((model) => ({
        model,
        bytes: computeReplicaBytes(bundle, model.name),
        demand: modelDemand.get(model.name) ?? 0,
        copies: model.replicas,
      }));
    const spare = computeSpareBytes(
      growing,
      open.map(({ memoryBytes }) => memoryBytes),
    );
    return { ...targets, ...addCopies(growing, spare, Math.max(1, open.length - 1)) };
  }, {});
}
