// Links between machines, servers and the store: proxies that can be cut and healed, silently.
import { connect, createServer } from 'node:net';
import { clearTimeout, setTimeout } from 'node:timers';
import { nowMs } from './common.mjs';

/** First wait of TCP before it sends unanswered bytes again; it doubles each time (RFC 6298). */
const FIRST_RETRY_MS = 200;

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
  const pass = (chunk) => {
    if (chunk === undefined) to.end();
    else if (!to.destroyed) to.write(chunk);
  };
  const take = (chunk) => {
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
    held.length = 0;
    clearTimeout(timer);
    if (!link.isCut) to.resetAndDestroy();
    else to.isLost = true;
  });
  return {
    heal: () => {
      if (firstHeldMs === undefined) {
        if (to.isLost) to.resetAndDestroy();
        return;
      }
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

/** Starts the link of one machine to one endpoint; resolves to the link with its own endpoint. */
export async function startLink(address, target, { onBytes = () => undefined } = {}) {
  const link = { isCut: false, endpoint: '', cut: () => undefined, heal: () => undefined };
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
  link.heal = () => {
    link.isCut = false;
    for (const pipe of pipes) pipe.heal();
    for (const near of unopened) near.resetAndDestroy();
    unopened.clear();
  };
  return link;
}
