import { writeFile } from 'node:fs/promises';
import { isLeft } from 'fp-ts/lib/Either.js';
import { signBundle } from '../../../decisions/bundle/signBundle/index.js';
import { readOperatorKey } from '../_lib/inputs.js';
import { ExitCode, printResult } from '../_lib/output.js';
import { formatFindings, readBundleFile } from './check.js';

/** Options of the sign command. */
export interface SignOptions {
  file: string;
  operatorKey?: string;
  /** File for the signed bundle; standard output when omitted. */
  out?: string;
  json: boolean;
}

/** Runs the sign command, which checks a bundle and signs it with the operator's key. */
export async function runSign({ file, operatorKey, out, json }: SignOptions): Promise<ExitCode> {
  const checked = await readBundleFile(file);
  if (isLeft(checked)) {
    printResult(json, { findings: checked.left }, formatFindings(file, checked.left));
    return ExitCode.badInput;
  }
  const key = await readOperatorKey(operatorKey);
  const signed = await signBundle(checked.right, key);
  if (out === undefined) process.stdout.write(`${signed}\n`);
  else {
    await writeFile(out, signed);
    const { version } = checked.right;
    printResult(
      json,
      { version, signer: key.kid, out },
      `version ${version} signed by ${key.kid ?? ''}: ${out}`,
    );
  }
  return ExitCode.done;
}
