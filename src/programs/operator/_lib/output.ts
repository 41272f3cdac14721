/** Exit codes of the operators' command. */
export const ExitCode = {
  done: 0,
  /** The command was refused; nothing was changed. */
  refused: 1,
  /** Invalid arguments, settings or bundle; nothing was changed. */
  badInput: 2,
  /** Unknown whether the change took effect. */
  unknown: 3,
} as const;
/** Exit code of the operators' command. */
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

/** Formats rows as a table with aligned columns. */
export function formatTable(head: readonly string[], rows: readonly (readonly string[])[]): string {
  const lines = [head, ...rows];
  const widths = head.map((_title, column) =>
    Math.max(...lines.map((line) => (line[column] ?? '').length)),
  );
  return lines
    .map((line) =>
      line
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}

/** Prints a result on standard output, as JSON or as the given text. */
export function printResult(asJson: boolean, value: unknown, text: string): void {
  process.stdout.write(`${asJson ? JSON.stringify(value, undefined, 2) : text}\n`);
}

/** Prints a refusal: as JSON on standard output, or as text on standard error. */
export function printRefusal(asJson: boolean, message: string): void {
  if (asJson) process.stdout.write(`${JSON.stringify({ refused: message })}\n`);
  else process.stderr.write(`bronzelanding: ${message}\n`);
}
