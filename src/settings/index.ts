import { isLeft, left, right, type Either } from 'fp-ts/lib/Either.js';
import yargs, { type Options } from 'yargs';
import type {
  SettingDefinition,
  SettingDefinitions,
  SettingFinding,
  SettingValues,
} from './types.js';

export * from './parsers.js';
export * from './types.js';

/** Builds the yargs options for a program's settings. */
export function buildYargsOptions(definitions: SettingDefinitions): Record<string, Options> {
  return Object.fromEntries(
    Object.values(definitions).map(({ flag, description, fallback, variable }) => [
      flag,
      {
        type: 'string' as const,
        requiresArg: true,
        describe: `${description} [${variable}${fallback === undefined ? ', required' : `, default "${fallback}"`}]`,
      },
    ]),
  );
}

function formatSettingName({ flag, variable }: SettingDefinition<unknown>): string {
  return `--${flag} (${variable})`;
}

function findUnknownFlags(
  flags: Readonly<Record<string, unknown>>,
  definitions: SettingDefinitions,
): SettingFinding[] {
  const known = new Set(Object.values(definitions).map(({ flag }) => flag));
  const given = Object.keys(flags).filter((flag) => flag !== '_' && flag !== '$0');
  return given
    .filter((flag) => !known.has(flag))
    .map((flag) => ({ setting: `--${flag}`, message: 'is an unknown flag' }));
}

/** Checks settings from flags and environment variables; returns all findings on the left. */
export function checkSettings<Definitions extends SettingDefinitions>(
  definitions: Definitions,
  flags: Readonly<Record<string, unknown>>,
  environment: Readonly<Record<string, string | undefined>>,
): Either<SettingFinding[], SettingValues<Definitions>> {
  const findings = findUnknownFlags(flags, definitions);
  const values: Record<string, unknown> = {};
  for (const [name, definition] of Object.entries(definitions)) {
    const given = flags[definition.flag] ?? environment[definition.variable] ?? definition.fallback;
    if (typeof given !== 'string') {
      const message = given === undefined ? 'is required' : 'is given more than once';
      findings.push({ setting: formatSettingName(definition), message });
      continue;
    }
    const parsed = definition.parse(given);
    if (isLeft(parsed))
      findings.push({ setting: formatSettingName(definition), message: parsed.left });
    else values[name] = parsed.right;
  }
  return findings.length > 0 ? left(findings) : right(values as SettingValues<Definitions>);
}

/** Exit code for invalid settings, arguments or bundles. */
export const EXIT_BAD_INPUT = 2;

/** Reads a program's settings; prints all findings and exits with 2 when there are any. */
export async function readSettings<Definitions extends SettingDefinitions>(
  program: string,
  description: string,
  definitions: Definitions,
): Promise<SettingValues<Definitions>> {
  const flags = await yargs(process.argv.slice(2))
    .scriptName(program)
    .usage(`$0 [flags]\n\n${description}`)
    .parserConfiguration({ 'camel-case-expansion': false, 'parse-numbers': false })
    .options(buildYargsOptions(definitions))
    .epilogue('Flags count before environment variables. docs/settings.md lists them all.')
    .wrap(null)
    .help()
    .version(false)
    .parse();
  const checked = checkSettings(definitions, flags, process.env);
  if (!isLeft(checked)) return checked.right;
  for (const { setting, message } of checked.left)
    process.stderr.write(`${program}: ${setting}: ${message}\n`);
  process.exit(EXIT_BAD_INPUT);
}

/** Renders a program's settings as a Markdown section of docs/settings.md. */
export function renderSettingsTable(program: string, definitions: SettingDefinitions): string {
  const rows = Object.values(definitions).map(({ flag, variable, unit, fallback, description }) => {
    const value = fallback === undefined ? '*required*' : `\`${fallback || ' '}\``;
    return `| \`--${flag}\` | \`${variable}\` | ${unit} | ${value} | ${description} |`;
  });
  return [
    `## ${program}`,
    '',
    '| flag | variable | kind | default | meaning |',
    '| --- | --- | --- | --- | --- |',
    ...rows,
    '',
  ].join('\n');
}
