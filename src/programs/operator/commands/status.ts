import { request } from 'undici';
import type { FleetStatus } from '../../entry/_lib/collectStatus.js';
import { OperatorError } from '../../../errors/index.js';
import { ExitCode, formatTable, printResult } from '../_lib/output.js';

const TIMEOUT_MS = 3000;

function formatResidency(residency: FleetStatus['residency']): string {
  const rows = Object.entries(residency)
    .sort(([one], [other]) => (one < other ? -1 : 1))
    .map(([name, copies]) => [
      name,
      copies
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
  const short = Object.entries(status.refused).map(([name, count]) => [name, String(count)]);
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
    short.length === 0
      ? 'no organisation ran short in the last minute'
      : formatTable(['RAN SHORT', 'REFUSED IN THE LAST MINUTE'], short),
  ].join('\n');
}

/** Prints which version each host runs, where each model is resident and who runs short. */
export async function runStatus(entry: string, asJson: boolean): Promise<ExitCode> {
  const { statusCode, body } = await request(`${entry}/status`, {
    signal: AbortSignal.timeout(TIMEOUT_MS),
  });
  if (statusCode !== 200) throw new OperatorError(`${entry} answered ${statusCode}`);
  const status = (await body.json()) as FleetStatus;
  printResult(asJson, status, formatStatus(status));
  return ExitCode.done;
}
