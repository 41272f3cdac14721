import { StorageKeys } from '../../../coordination/storageKeys.js';
import type { BundleHead, WithdrawalList } from '../../../coordination/types.js';
import { parseStored } from '../../../coordination/updateValue/index.js';
import type { Ledger } from '../../../decisions/ledger/types.js';
import { openKeyValueService } from '../_lib/inputs.js';
import { ExitCode, formatTable, printResult } from '../_lib/output.js';

/** One entry of the audit trail. */
interface AuditEntry {
  atMs: number;
  who: string;
  what: string;
}

function collectEntries(
  head: BundleHead | undefined,
  withdrawals: WithdrawalList | undefined,
  ledger: Ledger | undefined,
): AuditEntry[] {
  return [
    ...(head?.audit ?? []).map(({ atMs, signer, version, digest }) => ({
      atMs,
      who: signer,
      what: `accepted version ${version} (${digest})`,
    })),
    ...(withdrawals?.audit ?? []).map(({ atMs, signer, digests }) => ({
      atMs,
      who: signer,
      what: `withdrew ${digests.join(', ')}`,
    })),
    ...(ledger?.audit ?? []).map(({ atMs, host, change }) => ({ atMs, who: host, what: change })),
  ].sort((one, other) => one.atMs - other.atMs);
}

/** Runs the audit command, which prints the changes of bundles, keys and placement by time. */
export async function runAudit(
  keyValueService: string | undefined,
  asJson: boolean,
): Promise<ExitCode> {
  const service = openKeyValueService(keyValueService);
  try {
    const [head, withdrawals, ledger] = await Promise.all([
      service.get(StorageKeys.bundleHead).then((entry) => parseStored<BundleHead>(entry)),
      service.get(StorageKeys.withdrawals).then((entry) => parseStored<WithdrawalList>(entry)),
      service.get(StorageKeys.ledger).then((entry) => parseStored<Ledger>(entry)),
    ]);
    const entries = collectEntries(head, withdrawals, ledger);
    const rows = entries.map(({ atMs, who, what }) => [new Date(atMs).toISOString(), who, what]);
    printResult(asJson, entries, formatTable(['WHEN', 'WHO', 'WHAT'], rows));
    return ExitCode.done;
  } finally {
    await service.close();
  }
}
