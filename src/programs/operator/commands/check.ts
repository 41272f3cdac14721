import { isLeft, type Either } from 'fp-ts/lib/Either.js';
import { checkBundle } from '../../../decisions/bundle/checkBundle/index.js';
import type { Bundle, Finding } from '../../../decisions/bundle/types.js';
import { readInput } from '../_lib/inputs.js';
import { ExitCode, printResult } from '../_lib/output.js';

/** Formats the findings in a bundle, one per line. */
export function formatFindings(file: string, findings: readonly Finding[]): string {
  return findings
    .map(
      ({ line, path, message }) => `${file}:${line}: ${path === '' ? '' : `${path}: `}${message}`,
    )
    .join('\n');
}

/** Reads and checks a bundle file. */
export async function readBundleFile(file: string): Promise<Either<Finding[], Bundle>> {
  return checkBundle(await readInput(file));
}

/** Runs the check command, which prints all findings in a bundle. */
export async function runCheck(file: string, asJson: boolean): Promise<ExitCode> {
  const checked = await readBundleFile(file);
  if (isLeft(checked)) {
    printResult(asJson, { findings: checked.left }, formatFindings(file, checked.left));
    return ExitCode.badInput;
  }
  const { version, models, adapters, organisations, routes } = checked.right;
  const summary = {
    version,
    models: models.length,
    adapters: adapters.length,
    organisations: organisations.length,
    routes: routes.length,
  };
  printResult(
    asJson,
    { findings: [], ...summary },
    `${file}: version ${version} is fine: ${models.length} models, ${adapters.length} adapters, ` +
      `${organisations.length} organisations, ${routes.length} routes`,
  );
  return ExitCode.done;
}
