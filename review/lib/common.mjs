// What the scripts share: a record, processes of the deploy file, and plain HTTP requests of clients.
import { Buffer } from 'node:buffer';
import { spawn } from 'node:child_process';
import { appendFileSync, readFileSync, writeFileSync } from 'node:fs';
import { request as httpRequest } from 'node:http';
import { createServer } from 'node:net';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { clearTimeout } from 'node:timers';
import { setTimeout as wait } from 'node:timers/promises';
import { URL, fileURLToPath } from 'node:url';

export { wait };

const root = fileURLToPath(new URL('../../', import.meta.url));
const startedAt = performance.now();
const children = new Set();
/** A new leader may give orders by then, and all machines are in touch. */
const SETTLE_MS = 5000;
let writeRecord = () => undefined;

/** Milliseconds since the start of the script. */
export function nowMs() {
  return Math.round(performance.now() - startedAt);
}

/** Creates the record of what was sent, answered and run, in the folder of the case. */
export function createRecord(folder) {
  const file = `${folder}/record.txt`;
  writeFileSync(file, '');
  writeRecord = (text) => appendFileSync(file, `${String(nowMs()).padStart(6)} ms  ${text}\n`);
  return writeRecord;
}

/** Reads a request or a response to its end. */
export async function readText(stream) {
  const chunks = [];
  for await (const chunk of stream) chunks.push(chunk);
  return Buffer.concat(chunks).toString();
}

function pickNumber() {
  return 16 + Math.floor(Math.random() * 200);
}

/** Picks the first three numbers of loopback addresses, so that scripts that run at once do not meet. */
export function pickNetwork() {
  return `127.${pickNumber()}.${pickNumber()}`;
}

/** Picks a free port of a loopback address. */
export async function pickPort(address) {
  const server = createServer();
  await new Promise((resolve) => server.listen(0, address, resolve));
  const { port } = server.address();
  await new Promise((resolve) => server.close(resolve));
  return port;
}

const BOUNDS = {
  retry_budget_ratio: 0.2,
  budget_extra: 54,
  budget_window_s: 10,
  lease_ms: 3000,
  grace_s: 8,
  config_apply_ms: 2000,
  drain_ms: 2000,
};

/** Reads the run line and the variables of the deploy file, and fills in their placeholders. */
function readDeployFile(settings) {
  const text = readFileSync(`${root}deploy/system.toml`, 'utf8');
  const [, run] = /^run = "(.*)"$/m.exec(text);
  const table = text.slice(text.indexOf('[roles.entry.env]'));
  const fill = (value) =>
    value.replace(/\{\{([a-z0-9_.]+)\}\}/g, (_, path) =>
      String(path.split('.').reduce((table, name) => table[name], settings)),
    );
  const variables = [...table.matchAll(/^([A-Z0-9_]+) = "(.*)"$/gm)].map(([, name, value]) => [
    name,
    fill(value),
  ]);
  return { words: run.split(' '), variables: Object.fromEntries(variables) };
}

/** Chooses the addresses of one machine; they stay the same over its restarts. */
export async function planHost({ name, address, store, zone = 'lg-ikeja' }) {
  const [front, ready, peer] = [
    await pickPort(address),
    await pickPort(address),
    await pickPort(address),
  ];
  const settings = {
    node_name: name,
    zone,
    listen: { front: `${address}:${front}`, ready: `${address}:${ready}` },
    platform: { address: store.endpoint },
    limits: { link_mbps: 1000 },
    internal_ports: [peer, peer + 15],
    bounds: BOUNDS,
    heartbeat_ms: 1200,
    bootstrap: true,
  };
  return { name, address, front, ready, settings };
}

/** Starts the program of one machine with the command of the deploy file. */
export function startHost(host, { bootstrap = true, onLine = () => undefined } = {}) {
  const { words, variables } = readDeployFile({ ...host.settings, bootstrap });
  const { PATH, HOME } = process.env;
  const child = spawn(words[0] === 'node' ? process.execPath : words[0], words.slice(1), {
    cwd: root,
    env: { PATH, HOME, ...variables },
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  children.add(child);
  const exited = new Promise((resolve) => {
    child.once('exit', (code, signal) => {
      children.delete(child);
      resolve(signal ?? code);
    });
  });
  let rest = '';
  for (const stream of [child.stdout, child.stderr])
    stream.on('data', (chunk) => {
      const lines = (rest + chunk.toString()).split('\n');
      rest = lines.pop();
      for (const line of lines) onLine(line);
    });
  return { pid: child.pid, exited, kill: (signal) => child.kill(signal) };
}

/** Ends all processes that this script has started. */
export function endProcesses() {
  for (const child of children) child.kill('SIGKILL');
}
process.on('exit', endProcesses);
for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => process.exit(2));
for (const event of ['uncaughtException', 'unhandledRejection'])
  process.on(event, (error) => {
    process.stderr.write(`${error?.stack ?? error}\n`);
    process.exit(2);
  });

/** Asks a machine whether it is ready, as the platform does. */
export async function isReady({ address, ready }) {
  return new Promise((resolve) => {
    const request = httpRequest({ host: address, port: ready, path: '/api/ready', agent: false });
    request.once('response', (response) => {
      response.resume();
      resolve(response.statusCode === 200);
    });
    request.once('error', () => resolve(false));
    request.end();
  });
}

/** Waits until a condition holds; false if it does not in time. */
export async function waitUntil(isDone, timeoutMs) {
  const untilMs = nowMs() + timeoutMs;
  while (nowMs() < untilMs) {
    if (await isDone()) return true;
    await wait(50);
  }
  return false;
}

/**
 * Sends one request as a client does and reads its answer, on a new connection. It leaves at its
 * deadline. `status` is 0 where no head came.
 */
export function sendRequest(host, { path, method = 'POST', headers = {}, body = '', leaveMs }) {
  const sentMs = nowMs();
  return new Promise((resolve) => {
    const result = { sentMs, status: 0, headers: {}, body: '', isComplete: false };
    let isOver = false;
    const finish = (end) => {
      if (isOver) return;
      isOver = true;
      clearTimeout(timer);
      request.destroy();
      resolve({ ...result, end, endMs: nowMs() });
    };
    const request = httpRequest({
      host: host.address,
      port: host.front,
      method,
      path,
      headers,
      agent: false,
    });
    const timer = globalThis.setTimeout(() => finish('left'), leaveMs);
    request.once('response', (response) => {
      result.status = response.statusCode;
      result.headers = response.headers;
      result.headMs = nowMs();
      response.on('data', (chunk) => (result.body += chunk.toString()));
      response.once('end', () => {
        result.isComplete = response.complete;
        finish('answered');
      });
      response.once('error', () => finish('broken'));
    });
    request.once('error', () => finish('broken'));
    request.end(body);
  });
}

/** Writes the verdict to the record and to the output, and ends all processes. */
export function finish(text) {
  writeRecord(text);
  process.stdout.write(`${text}\n`);
  endProcesses();
}

/** Ends the script because the case could not run. */
export function giveUp(reason) {
  finish(`the case could not run: ${reason}`);
  process.exit(2);
}

/**
 * Starts machines on addresses of their own and waits until all are ready and one has led for a
 * while; resolves to them and to the name of the leader.
 */
export async function startFleet({ count, store, record, onLine }) {
  const hosts = [];
  // Machines listen on a fixed port for metrics too; scripts that run at once must not meet there.
  const network = pickNetwork();
  for (let number = 1; number <= count; number += 1)
    hosts.push(await planHost({ name: `front-${number}`, address: `${network}.${number}`, store }));
  for (const host of hosts) host.process = startHost(host, { onLine });
  const areReady = await waitUntil(
    async () => (await Promise.all(hosts.map(isReady))).every(Boolean),
    20_000,
  );
  if (!areReady) giveUp('the machines are not ready');
  const findLeader = () => store.read('bronzelanding/command')?.holder;
  if (!(await waitUntil(() => findLeader() !== undefined, 10_000))) giveUp('there is no leader');
  await wait(SETTLE_MS);
  record(`${findLeader()} leads`);
  return { hosts, leader: findLeader() };
}
