// Links between machines, servers and the store: proxies that can be cut and healed, silently.
import { connect, createServer } from 'node:net';
import { Buffer } from 'node:buffer';
import { clearTimeout, setTimeout } from 'node:timers';
import {
  giveUp,
  isReady,
  nowMs,
  pickNetwork,
  planHost,
  startHost,
  wait,
  waitUntil,
} from './common.mjs';

/** First wait of TCP before it sends unanswered bytes again; it doubles each time (RFC 6298). */
const FIRST_RETRY_MS = 200;
/**
 * What a sender can write to a silent connection before its buffer is full, and the time after which
 * its own time-out then ends it.
 */
const WINDOW_BYTES = 65_536;
const BLOCKED_MS = 5000;
/** A new leader may give orders by then, and all machines are in touch. */
const SETTLE_MS = 5000;

/** When TCP sends bytes again that were first sent at a moment, the first time after the link is back. */
function computeRetryMs(sentMs, healedMs) {
  let atMs = sentMs;
  for (let waitMs = FIRST_RETRY_MS; atMs < healedMs; waitMs *= 2) atMs += waitMs;
  return atMs;
}

/** One direction of a connection: passes bytes on, or holds them back while its link is cut. */
function createPipe(link, from, to) {
  /** Bytes, or the regular end of the connection. */
  const held = [];
  let firstHeldMs;
  let timer;
  let isSilent = false;
  let isReset = false;
  const pass = (chunk) => {
    if (chunk === undefined) to.end();
    else if (!to.destroyed) to.write(chunk);
  };
  let silentBytes = 0;
  const swallow = (chunk) => {
    silentBytes += chunk?.length ?? 0;
    if (silentBytes <= WINDOW_BYTES || timer !== undefined) return;
    timer = setTimeout(() => from.resetAndDestroy(), BLOCKED_MS);
  };
  const take = (chunk) => {
    if (isSilent) {
      swallow(chunk);
      return;
    }
    if (!link.isCut && firstHeldMs === undefined) pass(chunk);
    else {
      firstHeldMs ??= nowMs();
      held.push(chunk);
    }
  };
  from.on('data', take);
  from.on('end', () => take(undefined));
  from.on('error', () => {
    // A reset ends the connection; what was held up is lost.
    isReset = true;
    held.length = 0;
    clearTimeout(timer);
    if (!link.isCut && !isSilent) to.resetAndDestroy();
  });
  return {
    /** Nothing arrives any more, no end either. */
    silence: () => {
      isSilent = true;
    },
    heal: () => {
      if (isReset) to.resetAndDestroy();
      else if (firstHeldMs !== undefined)
        timer = setTimeout(
          () => {
            firstHeldMs = undefined;
            for (const chunk of held.splice(0)) pass(chunk);
          },
          Math.max(0, computeRetryMs(firstHeldMs, nowMs()) - nowMs()),
        );
    },
  };
}

/**
 * Starts the link of one machine to one endpoint; resolves to the link. `cut` and `heal` are those of a
 * partition; after `silence` nothing arrives on the open connections any more, while new ones work.
 */
export async function startLink(address, target, { onBytes = () => undefined } = {}) {
  const link = { isCut: false, endpoint: '' };
  const pipes = new Set();
  /** Connections that were opened during a cut: nothing of them arrives. */
  const unopened = new Set();
  const server = createServer({ allowHalfOpen: true, noDelay: true }, (near) => {
    near.on('error', () => undefined);
    if (link.isCut) {
      near.resume();
      unopened.add(near);
      return;
    }
    const [host, port] = target.split(':');
    const far = connect({ host, port: Number(port), allowHalfOpen: true, noDelay: true });
    near.on('data', (chunk) => onBytes(chunk, link));
    const own = [createPipe(link, near, far), createPipe(link, far, near)];
    for (const pipe of own) pipes.add(pipe);
    const drop = () => {
      if (!near.destroyed || !far.destroyed) return;
      for (const pipe of own) pipes.delete(pipe);
    };
    near.once('close', drop);
    far.once('close', drop);
  });
  await new Promise((resolve) => server.listen(0, address, resolve));
  link.endpoint = `${address}:${server.address().port}`;
  link.cut = () => {
    link.isCut = true;
  };
  link.silence = () => {
    for (const pipe of pipes) pipe.silence();
  };
  link.heal = () => {
    link.isCut = false;
    for (const pipe of pipes) pipe.heal();
    for (const near of unopened) near.resetAndDestroy();
    unopened.clear();
  };
  return link;
}

/**
 * Starts machines that reach the store, the engines and each other over links of their own, and waits
 * until all are ready and one has led for a while. Each machine reads from the store the addresses of
 * its links in place of those behind them.
 */
export async function startLinkedFleet({ count, store, engines, record, onBytes, onLine }) {
  const network = pickNetwork();
  const hosts = [];
  for (let number = 1; number <= count; number += 1)
    hosts.push(await planHost({ name: `front-${number}`, address: `${network}.${number}`, store }));
  const links = [];
  for (const host of hosts) {
    const endpoints = new Map();
    const addLink = async (target, to) => {
      const link = await startLink('127.0.0.1', target, {
        onBytes: (chunk) => onBytes?.(chunk, host.name, to),
      });
      links.push({ from: host.name, to, link });
      endpoints.set(target, link.endpoint);
    };
    for (const { id, endpoint } of engines) await addLink(endpoint, id);
    for (const other of hosts)
      if (other !== host)
        await addLink(`${other.address}:${other.settings.internal_ports[0]}`, other.name);
    const view = (key, value) => {
      const item = JSON.parse(Buffer.from(value, 'base64').toString());
      if (key.startsWith('servers/')) item.address = endpoints.get(item.address) ?? item.address;
      if (key.startsWith('bronzelanding/hosts/')) {
        const endpoint =
          endpoints.get(`${item.address}:${item.port}`) ?? `${item.address}:${item.port}`;
        const [address, port] = endpoint.split(':');
        Object.assign(item, { address, port: Number(port) });
      }
      return Buffer.from(JSON.stringify(item)).toString('base64');
    };
    const link = await startLink('127.0.0.1', await store.open(view));
    links.push({ from: host.name, to: 'store', link });
    host.settings.platform.address = link.endpoint;
  }
  for (const host of hosts) host.process = startHost(host, { onLine });
  const areReady = async () => (await Promise.all(hosts.map(isReady))).every(Boolean);
  if (!(await waitUntil(areReady, 20_000))) giveUp('the machines are not ready');
  const findLeader = () => store.read('bronzelanding/command')?.holder;
  if (!(await waitUntil(() => findLeader() !== undefined, 10_000))) giveUp('there is no leader');
  await wait(SETTLE_MS);
  record(`${findLeader()} leads`);
  return { hosts, links, leader: findLeader(), findLeader };
}
