import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';

/** One line of a program's log. */
export type LogLine = Record<string, unknown>;

/** A program started by a test, the demo or a benchmark. */
export interface RunningProcess {
  name: string;
  pid: number;
  /** Latest lines of its log. */
  lines: LogLine[];
  /** Settles with the first line, earlier or later, that the test holds for. */
  waitForLine: (isWanted: (line: LogLine) => boolean) => Promise<LogLine>;
  kill: (signal: NodeJS.Signals) => void;
  /** Settles with the exit code, or the signal that ended it. */
  exited: Promise<number | NodeJS.Signals>;
}

const KEPT_LINES = 5000;
const root = fileURLToPath(new URL('../../../', import.meta.url));
const running = new Set<ChildProcess>();

process.on('exit', () => {
  for (const child of running) child.kill('SIGKILL');
});

/** Starts one of the built programs. */
export function startProcess(
  name: string,
  script: string,
  args: readonly string[],
  environment: Readonly<Record<string, string>> = {},
): RunningProcess {
  const child = spawn(process.execPath, [`${root}dist/${script}`, ...args], {
    env: { ...process.env, UV_USE_IO_URING: '0', ...environment },
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  running.add(child);
  const lines: LogLine[] = [];
  const waiters = new Set<(line: LogLine) => void>();
  const takeLine = (text: string): void => {
    let line: LogLine;
    try {
      line = JSON.parse(text) as LogLine;
    } catch {
      line = { msg: text };
    }
    lines.push(line);
    if (lines.length > KEPT_LINES) lines.shift();
    for (const waiter of [...waiters]) waiter(line);
  };
  createInterface({ input: child.stdout }).on('line', takeLine);
  createInterface({ input: child.stderr }).on('line', takeLine);
  const exited = once(child, 'exit').then(([code, signal]) => {
    running.delete(child);
    return (code ?? signal) as number | NodeJS.Signals;
  });
  return {
    name,
    pid: child.pid ?? 0,
    lines,
    waitForLine: (isWanted) => {
      const found = lines.find(isWanted);
      if (found !== undefined) return Promise.resolve(found);
      return new Promise((resolve, reject) => {
        const waiter = (line: LogLine): void => {
          if (!isWanted(line)) return;
          waiters.delete(waiter);
          resolve(line);
        };
        waiters.add(waiter);
        void exited.then((end) => {
          reject(new Error(`${name} ended with ${end}: ${JSON.stringify(lines.slice(-5))}`));
        });
      });
    },
    kill: (signal) => void child.kill(signal),
    exited,
  };
}

/** Runs a program to its end and returns its exit code and output. */
export async function runProgram(
  script: string,
  args: readonly string[],
  environment: Readonly<Record<string, string>> = {},
): Promise<{ code: number; stdout: string; stderr: string }> {
  const child = spawn(process.execPath, [`${root}dist/${script}`, ...args], {
    env: { ...process.env, ...environment },
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  running.add(child);
  let stdout = '';
  let stderr = '';
  child.stdout.on('data', (chunk: Buffer) => (stdout += chunk.toString()));
  child.stderr.on('data', (chunk: Buffer) => (stderr += chunk.toString()));
  const [code] = (await once(child, 'close')) as [number];
  running.delete(child);
  return { code, stdout, stderr };
}
