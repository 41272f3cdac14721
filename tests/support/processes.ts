import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';

/** One parsed line of a program's log. */
export type LogLine = Record<string, unknown>;

/** A program started by a test, the demo or a benchmark. */
export interface RunningProcess {
  name: string;
  pid: number;
  /** The most recent lines of its log. */
  lines: LogLine[];
  /** Resolves with the first matching line, also when it was logged before the call. */
  waitForLine: (isWanted: (line: LogLine) => boolean) => Promise<LogLine>;
  kill: (signal: NodeJS.Signals) => void;
  /** Resolves with the exit code, or with the signal that ended the process. */
  exited: Promise<number | NodeJS.Signals>;
}

const MAX_RETAINED_LINES = 5000;
const projectRoot = fileURLToPath(new URL('../../../', import.meta.url));
const runningChildren = new Set<ChildProcess>();

process.on('exit', () => {
  for (const child of runningChildren) child.kill('SIGKILL');
});

/** Starts a built program, given by its path relative to `dist`, and collects its log lines. */
export function startProcess(
  name: string,
  script: string,
  args: readonly string[],
  environment: Readonly<Record<string, string>> = {},
): RunningProcess {
  const child = spawn(process.execPath, [`${projectRoot}dist/${script}`, ...args], {
    env: { ...process.env, UV_USE_IO_URING: '0', ...environment },
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  runningChildren.add(child);
  const lines: LogLine[] = [];
  const waiters = new Set<(line: LogLine) => void>();
  const addLine = (text: string): void => {
    let line: LogLine;
    try {
      line = JSON.parse(text) as LogLine;
    } catch {
      line = { msg: text };
    }
    lines.push(line);
    if (lines.length > MAX_RETAINED_LINES) lines.shift();
    for (const waiter of [...waiters]) waiter(line);
  };
  createInterface({ input: child.stdout }).on('line', addLine);
  createInterface({ input: child.stderr }).on('line', addLine);
  const exited = once(child, 'exit').then(([code, signal]) => {
    runningChildren.delete(child);
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
        void exited.then((exitStatus) => {
          reject(
            new Error(`${name} exited with ${exitStatus}: ${JSON.stringify(lines.slice(-5))}`),
          );
        });
      });
    },
    kill: (signal) => void child.kill(signal),
    exited,
  };
}

/** Runs a built program, given by its path relative to `dist`, until it exits; returns its exit code and output. */
export async function runProgram(
  script: string,
  args: readonly string[],
  environment: Readonly<Record<string, string>> = {},
): Promise<{ code: number; stdout: string; stderr: string }> {
  const child = spawn(process.execPath, [`${projectRoot}dist/${script}`, ...args], {
    env: { ...process.env, ...environment },
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  runningChildren.add(child);
  let stdout = '';
  let stderr = '';
  child.stdout.on('data', (chunk: Buffer) => (stdout += chunk.toString()));
  child.stderr.on('data', (chunk: Buffer) => (stderr += chunk.toString()));
  const [code] = (await once(child, 'close')) as [number];
  runningChildren.delete(child);
  return { code, stdout, stderr };
}
