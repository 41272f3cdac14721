#!/usr/bin/env node
import yargs from 'yargs';
import { formatError, KeyValueServiceError, OperatorError } from '../../errors/index.js';
import { sharedFlags } from './_lib/inputs.js';
import { ExitCode, printRefusal } from './_lib/output.js';
import { runAccept } from './commands/accept.js';
import { runAudit } from './commands/audit.js';
import { runCheck } from './commands/check.js';
import { createCallerKey, createOperatorKey } from './commands/createKey.js';
import { runSign } from './commands/sign.js';
import { runStatus } from './commands/status.js';
import { runWithdraw } from './commands/withdraw.js';

const { json } = sharedFlags;
const stringList = { type: 'string', array: true, default: [] as string[] } as const;

function toExitCode(error: unknown): ExitCode {
  return error instanceof OperatorError ? ExitCode.badInput : ExitCode.unknown;
}

function explainError(error: unknown): string {
  const message = formatError(error);
  return error instanceof KeyValueServiceError
    ? `${message}; the change may have taken effect: see "bronzelanding audit"`
    : message;
}

/** Runs a command and sets the exit code of the process; errors are printed as refusals. */
async function runCommand(asJson: boolean, run: () => ExitCode | Promise<ExitCode>): Promise<void> {
  try {
    process.exitCode = await run();
  } catch (error) {
    printRefusal(asJson, explainError(error));
    process.exitCode = toExitCode(error);
  }
}

await yargs(process.argv.slice(2))
  .scriptName('bronzelanding')
  .usage('$0 <command>\n\nOperates the fleet through signed bundles and key withdrawals.')
  .command(
    'check <bundle>',
    'Check a bundle and print every finding with its line',
    (builder) =>
      builder
        .positional('bundle', {
          type: 'string',
          demandOption: true,
          describe: 'YAML file, - for standard input',
        })
        .options({ json })
        .example('$0 check dryline.yaml', 'Print findings, exit with 2 if there are any'),
    (flags) => runCommand(flags.json, () => runCheck(flags.bundle, flags.json)),
  )
  .command(
    'sign <bundle>',
    'Check a bundle and sign it',
    (builder) =>
      builder
        .positional('bundle', { type: 'string', demandOption: true, describe: 'YAML file' })
        .options({
          json,
          'operator-key': sharedFlags['operator-key'],
          out: {
            type: 'string',
            describe: 'File for the signed bundle; standard output without it',
          },
        })
        .example('$0 sign dryline.yaml --operator-key @me.jwk --out dryline.jws', 'Sign a bundle'),
    (flags) => runCommand(flags.json, () => runSign({ ...flags, file: flags.bundle })),
  )
  .command(
    'accept <signed>',
    'Put a signed bundle in force on all hosts',
    (builder) =>
      builder
        .positional('signed', {
          type: 'string',
          demandOption: true,
          describe: 'File with the signed bundle',
        })
        .options({
          json,
          'key-value-service': sharedFlags['key-value-service'],
          'operator-keys': sharedFlags['operator-keys'],
        })
        .example(
          '$0 accept dryline.jws',
          'Accept it; print the version in force and exit with 1 if that is not lower',
        ),
    (flags) => runCommand(flags.json, () => runAccept({ ...flags, file: flags.signed })),
  )
  .command(
    'withdraw',
    'Withdraw keys immediately and permanently',
    (builder) =>
      builder
        .options({
          json,
          digest: { ...stringList, describe: 'Digest of a key' },
          key: { ...stringList, describe: 'A key itself' },
          entry: {
            ...stringList,
            describe:
              "Origin of an entry host's operator port; works while the key-value service is down",
          },
          'key-value-service': sharedFlags['key-value-service'],
          'operator-keys': sharedFlags['operator-keys'],
          'operator-key': sharedFlags['operator-key'],
        })
        .example('$0 withdraw --digest 9f86d0... --entry http://10.0.0.3:7100', 'Withdraw one key'),
    (flags) => runCommand(flags.json, () => runWithdraw(flags)),
  )
  .command(
    'status',
    'Show versions, resident models and adapters, and organisations over their rate',
    (builder) =>
      builder
        .options({
          json,
          entry: {
            type: 'string',
            demandOption: true,
            describe: "Origin of an entry host's operator port",
          },
        })
        .example('$0 status --entry http://10.0.0.3:7100', 'Show the fleet as that host sees it'),
    (flags) => runCommand(flags.json, () => runStatus(flags.entry, flags.json)),
  )
  .command(
    'audit',
    'Show the audit trail: who changed what and when',
    (builder) =>
      builder
        .options({ json, 'key-value-service': sharedFlags['key-value-service'] })
        .example('$0 audit --json', 'Print the audit trail as JSON'),
    (flags) => runCommand(flags.json, () => runAudit(flags.keyValueService, flags.json)),
  )
  .command(
    'create-key',
    "Create a caller's key, or an operator's key pair",
    (builder) =>
      builder
        .options({
          json,
          operator: { type: 'string', describe: 'Id of the operator whose key pair it is' },
        })
        .example('$0 create-key', "A caller's key and its digest")
        .example('$0 create-key --operator amara', "An operator's key pair"),
    ({ operator, json: asJson }) =>
      runCommand(asJson, () =>
        operator === undefined ? createCallerKey(asJson) : createOperatorKey(operator, asJson),
      ),
  )
  .demandCommand(1, 'a command is required')
  .strict()
  .fail((message, error) => {
    process.stderr.write(`bronzelanding: ${message || formatError(error)}\n`);
    process.exit(ExitCode.badInput);
  })
  .epilogue('Exit codes: 0 done, 1 refused, 2 bad input, 3 outcome unknown.')
  .help()
  .version(false)
  .parse();
