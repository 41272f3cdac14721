import type { ControlStateSnapshot } from '../../../coordination/createControlState/index.js';
import { ItemState } from '../../../decisions/ledger/types.js';
import type { Heartbeat } from '../../../ports/peers.js';

/** State of one entry host in the status. */
export interface HostStatus {
  host: string;
  bundleVersion: number;
  withdrawalsDigest: string;
  ledgerRevision: number;
  slots: number;
}

/** Status of the fleet from the view of one host. */
export interface FleetStatus {
  host: string;
  bundleVersion: number;
  bundleDigest: string;
  hosts: HostStatus[];
  /** Replicas of each model or adapter: engine, version and state. */
  residency: Record<string, { engine: string; version: string; state: string }[]>;
  /** Models and adapters of the bundle without a resident replica. */
  unreachable: string[];
  /** Requests rejected by the rate limiter in the last minute, by organisation. */
  refused: Record<string, number>;
  /** Demand over all hosts by model or adapter in tokens per second. */
  demand: Record<string, number>;
  withdrawals: number;
}

function mergeTotals(records: readonly Record<string, number>[]): Record<string, number> {
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

/** Collects the status from the heartbeat of this host, the last heartbeats of its peers and the control state. */
export function collectStatus(
  own: Heartbeat,
  peers: readonly Heartbeat[],
  controlState: ControlStateSnapshot,
): FleetStatus {
  const heartbeats = [own, ...peers];
  const residency = collectResidency(controlState);
  const bundle = controlState.accepted?.bundle;
  const names = [...(bundle?.models ?? []), ...(bundle?.adapters ?? [])].map(({ name }) => name);
  const isReachable = (name: string): boolean =>
    (residency[name] ?? []).some(({ state }) => state === ItemState.resident);
  return {
    host: own.host,
    bundleVersion: own.bundleVersion,
    bundleDigest: controlState.accepted?.digest ?? '',
    hosts: heartbeats
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
    refused: mergeTotals(heartbeats.map(({ refused }) => refused)),
    demand: mergeTotals(heartbeats.map(({ demand }) => demand)),
    withdrawals: controlState.withdrawals.length,
  };
}
