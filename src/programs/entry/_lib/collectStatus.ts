import type { ControlStateSnapshot } from '../../../coordination/createControlState/index.js';
import { ItemState } from '../../../decisions/ledger/types.js';
import type { Heartbeat } from '../../../ports/peers.js';

/** One entry host in the status. */
export interface HostStatus {
  host: string;
  bundleVersion: number;
  withdrawalsDigest: string;
  ledgerRevision: number;
  slots: number;
}

/** Status of the fleet as one host sees it. */
export interface FleetStatus {
  host: string;
  bundleVersion: number;
  bundleDigest: string;
  hosts: HostStatus[];
  /** Engines that hold each model or adapter, as `engine version state`. */
  residency: Record<string, { engine: string; version: string; state: string }[]>;
  /** Models and adapters of the bundle that no engine holds now. */
  unreachable: string[];
  /** Requests refused for rate in the last minute by organisation. */
  refused: Record<string, number>;
  /** Demand over all hosts by model or adapter in tokens a second. */
  demand: Record<string, number>;
  withdrawals: number;
}

function collectTotals(records: readonly Record<string, number>[]): Record<string, number> {
  const totals: Record<string, number> = {};
  for (const record of records)
    for (const [name, count] of Object.entries(record)) totals[name] = (totals[name] ?? 0) + count;
  return totals;
}

function collectResidency({ ledger }: ControlStateSnapshot): FleetStatus['residency'] {
  const residency: FleetStatus['residency'] = {};
  for (const [engine, { items }] of Object.entries(ledger.engines))
    for (const { name, version, state } of items)
      (residency[name] ??= []).push({ engine, version, state });
  return residency;
}

/** Collects the status from this host's own figures and its peers' last heartbeats. */
export function collectStatus(
  own: Heartbeat,
  peers: readonly Heartbeat[],
  facts: ControlStateSnapshot,
): FleetStatus {
  const all = [own, ...peers];
  const residency = collectResidency(facts);
  const bundle = facts.accepted?.bundle;
  const names = [...(bundle?.models ?? []), ...(bundle?.adapters ?? [])].map(({ name }) => name);
  const isReachable = (name: string): boolean =>
    (residency[name] ?? []).some(({ state }) => state === ItemState.resident);
  return {
    host: own.host,
    bundleVersion: own.bundleVersion,
    bundleDigest: facts.accepted?.digest ?? '',
    hosts: all
      .map(({ host, bundleVersion, withdrawalsDigest, ledgerRevision, slots }) => ({
        host,
        bundleVersion,
        withdrawalsDigest,
        ledgerRevision,
        slots,
      }))
      .sort((one, other) => (one.host < other.host ? -1 : 1)),
    residency,
    unreachable: names.filter((name) => !isReachable(name)),
    refused: collectTotals(all.map(({ refused }) => refused)),
    demand: collectTotals(all.map(({ demand }) => demand)),
    withdrawals: facts.withdrawals.length,
  };
}
