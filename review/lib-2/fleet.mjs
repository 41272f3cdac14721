import { spawn } from 'node:child_process';
import { existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { request } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';
import { setTimeout as wait } from 'node:timers/promises';
import { fileURLToPath, URL } from 'node:url';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));

/** Bounds of the two small deployments. */
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

/** Reads the run line and the environment of the role from the deploy file; values in either quotes. */
function readDeployFile() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const run = /^run = "(.*)"$/m.exec(text)?.[1];
  const env = {};
  for (const [, name, , value] of text.matchAll(/^([A-Z][A-Z0-9_]*) = (["'])(.*)\2$/gm))
    env[name] = value;
  return { run: run.split(' '), env };
}

function fillIn(text, fields) {
  return text.replaceAll(/\{\{([^}]+)\}\}/g, (_, path) => {
    const value = path.split('.').reduce((object, key) => object?.[key], fields);
    return value === undefined ? '' : String(value);
  });
}

export async function pickPort(address) {
  const server = createServer();
  await new Promise((resolve) => server.listen(0, address, resolve));
  const { port } = server.address();
  await new Promise((resolve) => server.close(resolve));
  return port;
}

// A mistake of a script must not pass for a broken rule.
process.on('uncaughtException', (error) => {
  process.stderr.write(`${error.stack}\n`);
  process.exit(2);
});

const running = new Set();
process.on('exit', () => {
  for (const child of running) child.kill('SIGKILL');
});

const pickByte = () => 16 + Math.floor(Math.random() * 200);

/**
 * Picks a loopback network, 127.X.Y, for the machines of one run. The metrics port of the program is fixed, so that two
 * machines can't share an address.
 */
export const pickNetwork = () => `127.${pickByte()}.${pickByte()}`;

/** A machine that runs the entry role of the deploy file on a loopback address of its own. */
export class Machine {
  constructor({ name, address, zone = 'zone-a', store, bootstrap = true, storePort, peerPort }) {
    Object.assign(this, { name, address, zone, store, bootstrap, storePort, peerPort });
    this.lines = [];
  }

  async start() {
    this.storePort ??= await this.store.listen('127.0.0.1', this.name);
    this.callerPort ??= await pickPort(this.address);
    this.readyPort ??= await pickPort(this.address);
    this.peerPort ??= await pickPort(this.address);
    this.spawn();
  }

  spawn() {
    const { run, env } = readDeployFile();
    const fields = {
      node_name: this.name,
      zone: this.zone,
      bootstrap: this.bootstrap,
      heartbeat_ms: 1200,
      listen: {
        front: `${this.address}:${this.callerPort}`,
        ready: `${this.address}:${this.readyPort}`,
      },
      platform: { address: `127.0.0.1:${this.storePort}` },
      internal_ports: [this.peerPort, this.peerPort],
      limits: { link_mbps: 1000 },
      bounds: BOUNDS,
    };
    const filled = Object.fromEntries(
      Object.entries(env).map(([name, value]) => [name, fillIn(value, fields)]),
    );
    const [program, ...words] = run;
    const { PATH, HOME, LANG } = process.env;
    // The metrics port is fixed on a machine; each machine here has its own loopback address.
    this.child = spawn(program, words, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, ...filled },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const { child } = this;
    running.add(child);
    this.exit = undefined;
    this.exited = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        running.delete(child);
        if (this.child === child) this.exit = { code, signal };
        resolve({ code, signal });
      });
    });
    let rest = '';
    const add = (chunk) => {
      const parts = (rest + chunk.toString()).split('\n');
      rest = parts.pop() ?? '';
      for (const part of parts) this.lines.push(part);
    };
    child.stdout.on('data', add);
    child.stderr.on('data', add);
  }

  signal(name) {
    this.child.kill(name);
  }

  async isReady() {
    return new Promise((resolve) => {
      const asked = request(
        { host: this.address, port: this.readyPort, path: '/api/ready', timeout: 1000 },
        (response) => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      asked.on('error', () => resolve(false));
      asked.on('timeout', () => asked.destroy());
      asked.end();
    });
  }

  /** Resident memory in megabytes; 0 when the process has ended. */
  residentMb() {
    const path = `/proc/${this.child.pid}/status`;
    if (!existsSync(path)) return 0;
    const match = /^VmRSS:\s+(\d+)/m.exec(readFileSync(path, 'utf8'));
    return match === null ? 0 : Number(match[1]) / 1024;
  }
}

/** Waits until a condition holds; throws once the time is over. */
export async function waitUntil(what, isTrue, timeoutMs = 20_000) {
  const endAt = Date.now() + timeoutMs;
  while (!(await isTrue())) {
    if (Date.now() > endAt) throw new Error(`not in time: ${what}`);
    await wait(50);
  }
}

export function endAll() {
  for (const child of running) child.kill('SIGKILL');
}

/** The record of a script, written to record.txt at its end. */
export function openRecord(folder) {
  const lines = [];
  const startedAt = Date.now();
  return {
    lines,
    add: (kind, fields) => lines.push({ t: Date.now() - startedAt, kind, ...fields }),
    write: () =>
      writeFileSync(
        join(folder, 'record.txt'),
        lines.map((l) => JSON.stringify(l)).join('\n') + '\n',
      ),
  };
}

export function openTemporaryFolder() {
  const folder = mkdtempSync(join(tmpdir(), 'review-'));
  process.on('exit', () => rmSync(folder, { recursive: true, force: true }));
  return folder;
}

export const KEY = 'i9n73hh2b9wu3fexd9dn';

/** A configuration like that of a small deployment. */
export function buildConfiguration(version, change = {}) {
  const models = change.models ?? [
    { name: 'm0', weights_mb: 65_100, load_s: 1.2, adapters: 8, adapter_mb: 12 },
    { name: 'm1', weights_mb: 72_700, load_s: 1.2, adapters: 0, adapter_mb: 66 },
  ];
  return {
    version,
    routes: change.routes ?? [
      route('batch', 'stream', 'llm', {
        timeout_ms: 6000,
        target_latency_ms: 800,
        sticky: true,
        gap_target_ms: 250,
      }),
      route('chat', 'stream', 'llm', {
        timeout_ms: 15_000,
        target_latency_ms: 400,
        resumable: true,
        max_attempts: 2,
        sticky: true,
        gap_target_ms: 250,
        priority: 0,
      }),
      route('issue', 'unsafe', 'app', { timeout_ms: 2500, target_latency_ms: 193, priority: 2 }),
      route('lookup', 'safe', 'app', {
        timeout_ms: 2500,
        target_latency_ms: 193,
        priority: 2,
        max_attempts: 2,
      }),
    ],
    services: [
      {
        name: 'llm',
        health_path: '/health',
        max_connections: 360,
        protocol: 'h1',
        tls: false,
        engine: {
          slots: 64,
          kv_capacity: 232_000,
          stride: 4,
          models,
          weights_mb: 200_000,
          adapter_slots: 8,
          loads_per_s: 2.1,
        },
      },
      { name: 'app', health_path: '/health', max_connections: 100, protocol: 'h1', tls: false },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000,
    },
    tenants: [
      {
        name: 'depot',
        api_keys: [KEY],
        priority: 1,
        unit: 'tokens',
        plain_tokens: 200,
        rate_per_s: 1_000_000,
        burst: 1_000_000,
      },
    ],
  };
}

function route(name, kind, service, fields) {
  return {
    name,
    host: 'depots.example',
    prefix: `/${name}/`,
    route_type: kind,
    priority: 1,
    service,
    max_attempts: 1,
    auth_exempt: false,
    sticky: false,
    resumable: false,
    ...fields,
  };
}
