import { request } from 'undici';
import type { FleetStatus } from '../../entry/_lib/collectStatus.js';
import { OperatorError } from '../../../errors/index.js';
import { ExitCode, formatTable, printResult } from '../_lib/output.js';

const STATUS_TIMEOUT_MS = 3000;

function formatResidency(residency: FleetStatus['residency']): string {
  const rows = Object.entries(residency)
    .sort(([one], [other]) => (one < other ? -1 : 1))
    .map(([name, replicas]) => [
      name,
      replicas
        .map(
          ({ engine, version, state }) =>
            `${engine}:${version}${state === 'resident' ? '' : ` (${state})`}`,
        )
        .join(', '),
    ]);
  return formatTable(['MODEL OR ADAPTER', 'WHERE'], rows);
}

function formatStatus(status: FleetStatus): string {
  const hosts = status.hosts.map(({ host, bundleVersion, slots, ledgerRevision }) => [
    host,
    String(bundleVersion),
    String(slots),
    String(ledgerRevision),
  ]);
  const rejections = Object.entries(status.refused).map(([name, count]) => [name, String(count)]);
  return [
    `as ${status.host} sees it: version ${status.bundleVersion}, ${status.withdrawals} withdrawals`,
    '',
    formatTable(['HOST', 'VERSION', 'SLOTS', 'LEDGER'], hosts),
    '',
    formatResidency(status.residency),
    '',
    status.unreachable.length === 0
      ? 'every model and adapter is reachable'
      : `not reachable: ${status.unreachable.join(', ')}`,
    '',
    rejections.length === 0
      ? 'no organisation ran short in the last minute'
      : formatTable(['RAN SHORT', 'REFUSED IN THE LAST MINUTE'], rejections),
  ].join('\n');
}

/**
 * Runs the status command, which prints the bundle version of each host, the replicas of each model and adapter,
 * and the organisations over their rate.
 */
export async function runStatus(entry: string, asJson: boolean): Promise<ExitCode> {
  const { statusCode, body } = await request(`${entry}/status`, {
    signal: AbortSignal.timeout(STATUS_TIMEOUT_MS),
  });
  if (statusCode !== 200)
    throw new OperatorError(`${entry}/status responded with HTTP status ${statusCode}`);
  const status = (await body.json()) as FleetStatus;
  printResult(asJson, status, formatStatus(status));
  return ExitCode.done;
}
