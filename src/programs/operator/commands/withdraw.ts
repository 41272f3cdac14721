import { isLeft } from 'fp-ts/lib/Either.js';
import { request } from 'undici';
import { z } from 'zod';
import { systemClock } from '../../../adapters/clock/index.js';
import { StorageKeys } from '../../../coordination/storageKeys.js';
import type { BundleHead } from '../../../coordination/types.js';
import { parseStored } from '../../../coordination/updateValue/index.js';
import { withdrawKeys } from '../../../coordination/withdrawKeys/index.js';
import { hashKey } from '../../../decisions/keys/hashKey/index.js';
import { signWithdrawal } from '../../../decisions/keys/signWithdrawal/index.js';
import { MILLISECONDS_PER_SECOND } from '../../../decisions/rate/constants/index.js';
import { formatError, OperatorError } from '../../../errors/index.js';
import type { KeyValueService } from '../../../ports/keyValueService.js';
import { openKeyValueService, readOperatorKey, readOperatorKeys } from '../_lib/inputs.js';
import { ExitCode, printRefusal, printResult } from '../_lib/output.js';

/** Options of the withdraw command. */
export interface WithdrawOptions {
  /** Digests of the keys. */
  digest: readonly string[];
  /** The keys themselves. */
  key: readonly string[];
  /** Origins of entry hosts' operator ports. */
  entry: readonly string[];
  keyValueService?: string;
  operatorKey?: string;
  operatorKeys?: string;
  json: boolean;
}

const ENTRY_TIMEOUT_MS = 3000;
const statusBody = z.object({ bundleVersion: z.number() });

async function readEntryVersion(origin: string): Promise<number> {
  const { body } = await request(`${origin}/status`, {
    signal: AbortSignal.timeout(ENTRY_TIMEOUT_MS),
  });
  return statusBody.parse(await body.json()).bundleVersion;
}

async function readStoredVersion(service: KeyValueService): Promise<number> {
  return parseStored<BundleHead>(await service.get(StorageKeys.bundleHead))?.version ?? 0;
}

/** Finds the highest bundle version known to the key-value service or the entry hosts. */
async function findBundleVersion(
  service: KeyValueService | undefined,
  entries: readonly string[],
): Promise<number> {
  const reads = [
    ...entries.map(readEntryVersion),
    ...(service === undefined ? [] : [readStoredVersion(service)]),
  ];
  const versions = (await Promise.allSettled(reads)).flatMap((result) =>
    result.status === 'fulfilled' ? [result.value] : [],
  );
  if (versions.length === 0)
    throw new OperatorError('no response from the key-value service or an entry host');
  return Math.max(...versions);
}

async function sendToEntry(origin: string, signed: string): Promise<void> {
  const { statusCode, body } = await request(`${origin}/withdrawals`, {
    method: 'POST',
    body: JSON.stringify({ signed: [signed] }),
    signal: AbortSignal.timeout(ENTRY_TIMEOUT_MS),
  });
  await body.dump();
  if (statusCode !== 200)
    throw new OperatorError(`${origin}/withdrawals responded with HTTP status ${statusCode}`);
}

async function sendWithdrawal(
  signed: string,
  options: WithdrawOptions,
  service: KeyValueService | undefined,
): Promise<{ place: string; error?: string }[]> {
  const sends: [string, Promise<void>][] = options.entry.map((origin) => [
    origin,
    sendToEntry(origin, signed),
  ]);
  if (service !== undefined) {
    const write = async (): Promise<void> => {
      const operatorKeys = await readOperatorKeys(options.operatorKeys);
      const result = await withdrawKeys(signed, { service, operatorKeys, clock: systemClock });
      if (isLeft(result)) throw new OperatorError(result.left);
    };
    sends.push(['key-value service', write()]);
  }
  return Promise.all(
    sends.map(([place, send]) =>
      send.then(
        () => ({ place }),
        (error: unknown) => ({ place, error: formatError(error) }),
      ),
    ),
  );
}

/**
 * Runs the withdraw command, which signs a withdrawal of callers' API keys, writes it to the key-value service and
 * sends it to entry hosts.
 */
export async function runWithdraw(options: WithdrawOptions): Promise<ExitCode> {
  const digests = [...options.digest, ...options.key.map(hashKey)];
  if (digests.length === 0) throw new OperatorError('at least one --digest or --key is required');
  const hasService = options.keyValueService !== undefined;
  if (!hasService && options.entry.length === 0)
    throw new OperatorError('--key-value-service or at least one --entry is required');
  const privateKey = await readOperatorKey(options.operatorKey);
  const service = hasService ? openKeyValueService(options.keyValueService) : undefined;
  try {
    const bundleVersion = await findBundleVersion(service, options.entry);
    const signedAt = Math.floor(systemClock.wallMs() / MILLISECONDS_PER_SECOND);
    const signed = await signWithdrawal({ digests, bundleVersion, signedAt }, privateKey);
    const results = await sendWithdrawal(signed, options, service);
    const accepted = results.filter(({ error }) => error === undefined);
    const lines = results.map(({ place, error }) => `${place}: ${error ?? 'taken'}`);
    if (accepted.length === 0) {
      printRefusal(options.json, lines.join('; '));
      return ExitCode.unknown;
    }
    printResult(options.json, { digests, results }, lines.join('\n'));
    return ExitCode.done;
  } finally {
    await service?.close();
  }
}
