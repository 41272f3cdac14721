/** Exit codes of the operators' command. */
export const ExitCode = {
  done: 0,
  /** Refused, and nothing was changed. */
  refused: 1,
  /** Arguments, settings or a bundle are wrong; nothing was changed. */
  badInput: 2,
  /** It could not be found out whether the change took effect. */
  unknown: 3,
} as const;
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

/** Prints a result: as JSON for programs, else as the given text. */
export function printResult(asJson: boolean, value: unknown, text: string): void {
  process.stdout.write(`${asJson ? JSON.stringify(value, undefined, 2) : text}\n`);
}

/** Prints a refusal on standard error, or as JSON on standard output. */
export function printRefusal(asJson: boolean, message: string): void {
  if (asJson) process.stdout.write(`${JSON.stringify({ refused: message })}\n`);
  else process.stderr.write(`bronzelanding: ${message}\n`);
}
