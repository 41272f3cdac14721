// Starts the hosts of a case as the deploy file says, each on a loopback address of its own, with the project's
// stand-in of the platform's store.
import { spawn } from 'node:child_process';
import { appendFileSync, readFileSync, writeFileSync } from 'node:fs';
import { request } from 'node:http';
import { createServer } from 'node:net';
import { dirname, join } from 'node:path';
import process from 'node:process';
import { performance } from 'node:perf_hooks';
import { setTimeout as wait } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

export { wait };
export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');

/** Bounds of a small site (dryline-ng), as its page gives them. */
export const BOUNDS = {
  contact_ms: 3000,
  drain_ms: 2000,
  grace_s: 8,
  config_apply_ms: 2000,
  retry_budget_ratio: 0.2,
  budget_window_s: 10,
  budget_extra: 54,
  lease_ms: 3000,
};
export const HEARTBEAT_MS = 1200;

/** Opens the record of a case, emptied at the start; lines bear the milliseconds since then. */
export function openRecord(caseUrl) {
  const path = join(dirname(fileURLToPath(caseUrl)), 'record.txt');
  const startedAtMs = performance.now();
  writeFileSync(path, '');
  return (text) => {
    const atMs = Math.round(performance.now() - startedAtMs);
    appendFileSync(path, `${atMs} ms  ${text}\n`);
  };
}

const children = new Set();
/** Ends all processes that the case started. */
export function endAll() {
  for (const child of children) child.kill('SIGKILL');
}
process.on('exit', endAll);
for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'])
  process.on(signal, () => {
    endAll();
    process.exit(2);
  });

/** Starts a process; `exited` resolves with its exit code or the signal that ended it. */
export function startProcess(command, words, env, onLine = () => undefined) {
  const child = spawn(command, words, { cwd: ROOT, env, stdio: ['ignore', 'pipe', 'pipe'] });
  children.add(child);
  const started = { child, pid: child.pid, hasExited: false, lastLines: [] };
  started.exited = new Promise((resolve) => {
    child.once('exit', (code, signal) => {
      children.delete(child);
      started.hasExited = true;
      started.exit = signal ?? code;
      resolve(started.exit);
    });
  });
  for (const stream of [child.stdout, child.stderr]) {
    let rest = '';
    stream.on('data', (chunk) => {
      const lines = (rest + chunk.toString()).split('\n');
      rest = lines.pop();
      for (const line of lines) {
        started.lastLines = [...started.lastLines, line].slice(-40);
        onLine(line);
      }
    });
  }
  return started;
}

/** Reads the run line and the variables of the deploy file. */
function readDeployFile() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const run = /^run = "(.*)"$/m.exec(text)[1].split(' ');
  const section = text.split('[roles.entry.env]')[1];
  const env = [...section.matchAll(/^([A-Z0-9_]+) = (?:"(.*)"|'(.*)')$/gm)].map(
    ([, name, double, single]) => [name, double ?? single],
  );
  return { run, env };
}

function fillIn(text, fields) {
  return text.replace(/\{\{([^}]+)\}\}/g, (_, path) => {
    const value = path.split('.').reduce((part, name) => part?.[name], fields);
    return value === undefined ? '' : String(value);
  });
}

const network = `127.${20 + (process.pid % 200)}.${1 + (Math.floor(process.pid / 200) % 250)}`;
/** Address of a machine of the case; addresses and ports are not shared with other runs. */
export const addressOf = (machine) => `${network}.${machine}`;

async function isFree(port, address) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, address, () => server.close(() => resolve(true)));
  });
}
export async function pickPort(address = '127.0.0.1') {
  for (;;) {
    const port = 10_000 + Math.floor(Math.random() * 20_000);
    if (await isFree(port, address)) return port;
  }
}

/** Creates a host that is not started yet. */
export function createHost({
  number,
  zone = 'z1',
  storePort,
  storeAddress = '127.0.0.1',
  ports,
  onLog,
}) {
  const deploy = readDeployFile();
  const address = addressOf(number);
  const name = `front-${zone}-${number}`;
  const host = { name, zone, address, port: ports.front, ready: ports.ready, process: undefined };
  host.start = (isFirst = false) => {
    const fields = {
      node_name: name,
      zone,
      listen: { front: `${address}:${ports.front}`, ready: `${address}:${ports.ready}` },
      platform: { address: `${storeAddress}:${storePort}` },
      limits: { link_mbps: 1000 },
      internal_ports: [ports.peer],
      bounds: BOUNDS,
      heartbeat_ms: HEARTBEAT_MS,
      bootstrap: isFirst,
    };
    const env = Object.fromEntries([
      ...['PATH', 'HOME', 'LANG'].flatMap((key) =>
        process.env[key] === undefined ? [] : [[key, process.env[key]]],
      ),
      ...deploy.env.map(([key, text]) => [key, fillIn(text, fields)]),
    ]);
    const [command, ...words] = deploy.run;
    host.process = startProcess(
      command === 'node' ? process.execPath : command,
      words,
      env,
      (line) => onLog?.(name, line),
    );
    return host;
  };
  host.kill = (signal) => host.process.child.kill(signal);
  return host;
}

/** Whether the load balancer would send connections to a host. */
export function isReady(host) {
  return new Promise((resolve) => {
    const call = request(
      { host: host.address, port: host.ready, path: '/api/ready', timeout: 1000 },
      (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      },
    );
    call.on('timeout', () => call.destroy());
    call.on('error', () => resolve(false));
    call.end();
  });
}

export async function waitUntil(what, isDone, timeoutMs = 20_000) {
  const untilMs = performance.now() + timeoutMs;
  while (!(await isDone())) {
    if (performance.now() > untilMs) throw new Error(`not in time: ${what}`);
    await wait(50);
  }
}

/** Ports that are the same on all machines. */
export async function pickPorts() {
  const [front, ready, peer] = [
    await pickPort(addressOf(1)),
    await pickPort(addressOf(1)),
    await pickPort(addressOf(1)),
  ];
  return { front, ready, peer };
}

/** Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
export async function runCase(record, run) {
  let code = 2;
  try {
    code = (await run()) ? 1 : 0;
    record(code === 1 ? 'RESULT: the rule was broken' : 'RESULT: the rule held');
  } catch (error) {
    record(`RESULT: the case could not run: ${error?.stack ?? error}`);
    process.stderr.write(`${error?.stack ?? error}\n`);
  }
  endAll();
  process.exit(code);
}
