import { isLeft } from 'fp-ts/lib/Either.js';
import { systemClock } from '../../../adapters/clock/index.js';
import { acceptBundle } from '../../../coordination/acceptBundle/index.js';
import { openKeyValueService, readInput, readOperatorKeys } from '../_lib/inputs.js';
import { ExitCode, printRefusal, printResult } from '../_lib/output.js';

/** Options of the accept command. */
export interface AcceptOptions {
  /** File with the signed bundle. */
  file: string;
  keyValueService?: string;
  operatorKeys?: string;
  json: boolean;
}

/** Runs the accept command, which puts a signed bundle in force on all hosts. */
export async function runAccept(options: AcceptOptions): Promise<ExitCode> {
  const { file, json } = options;
  const signed = (await readInput(file)).trim();
  const operatorKeys = await readOperatorKeys(options.operatorKeys);
  const service = openKeyValueService(options.keyValueService);
  try {
    const accepted = await acceptBundle(signed, { service, operatorKeys, clock: systemClock });
    if (isLeft(accepted)) {
      printRefusal(json, accepted.left);
      return ExitCode.refused;
    }
    const { version, digest, signer } = accepted.right;
    printResult(json, { version, digest, signer }, `version ${version} accepted, digest ${digest}`);
    return ExitCode.done;
  } finally {
    await service.close();
  }
}
