import { connect, createServer, type AddressInfo, type Socket } from 'node:net';

/** How a proxy treats its connections. */
export const ProxyMode = {
  pass: 'pass',
  /** Delays each chunk. */
  delay: 'delay',
  /** Holds the bytes of both directions until the mode changes. */
  silent: 'silent',
  /** Holds the bytes to the target. */
  silentUp: 'silentUp',
  /** Holds the bytes from the target. */
  silentDown: 'silentDown',
  /** Loses the bytes of both directions; a connection that has lost bytes delivers no more of that direction. */
  lose: 'lose',
  /** Loses the bytes to the target. */
  loseUp: 'loseUp',
  /** Loses the bytes from the target. */
  loseDown: 'loseDown',
  /** Open connections lose the bytes of both directions; new ones work. */
  loseOpen: 'loseOpen',
  /** Resets open connections and new ones. */
  reset: 'reset',
} as const;
export type ProxyMode = (typeof ProxyMode)[keyof typeof ProxyMode];

/** A TCP proxy on the loopback interface. */
export interface Proxy {
  port: number;
  setMode: (mode: ProxyMode) => void;
  close: () => Promise<void>;
}

const DELAY_MS = 150;
const DIRECTIONS = [ProxyMode.loseUp, ProxyMode.loseDown];

/** Starts a proxy in front of a port; held bytes are forwarded once the mode allows it. */
export async function startProxy(targetPort: number): Promise<Proxy> {
  let mode: ProxyMode = ProxyMode.pass;
  const sockets = new Set<Socket>();
  const flushes = new Set<() => void>();
  /** Directions in which each open connection delivers nothing any more. */
  const losses = new Set<Set<ProxyMode>>();

  const isHeld = (direction: ProxyMode): boolean => mode === ProxyMode.silent || mode === direction;

  const forward = (
    from: Socket,
    to: Socket,
    direction: ProxyMode,
    [loss, oppositeLoss]: readonly ProxyMode[],
    lost: Set<ProxyMode>,
  ): void => {
    let queue: { chunk: Buffer | undefined; dueMs: number }[] = [];
    const flush = (): void => {
      if (isHeld(direction)) return;
      const nowMs = performance.now();
      while (queue[0] !== undefined && queue[0].dueMs <= nowMs) {
        const { chunk } = queue[0];
        queue = queue.slice(1);
        if (chunk === undefined) to.end();
        else if (!to.destroyed) to.write(chunk);
      }
      if (queue[0] !== undefined) setTimeout(flush, queue[0].dueMs - nowMs + 1);
    };
    const isLost = (mayBe: ProxyMode | undefined): boolean => {
      if (mayBe !== undefined && (mode === ProxyMode.lose || mode === mayBe)) lost.add(mayBe);
      return mayBe !== undefined && lost.has(mayBe);
    };
    const enqueue = (chunk: Buffer | undefined): void => {
      if (isLost(loss)) return;
      const delayMs = mode === ProxyMode.delay ? DELAY_MS : 0;
      queue.push({ chunk, dueMs: performance.now() + delayMs });
      flush();
    };
    flushes.add(flush);
    from.on('data', enqueue);
    from.on('end', () => enqueue(undefined));
    from.on('close', () => {
      if (from.errored !== null && !isLost(loss)) to.resetAndDestroy();
    });
    to.on('close', () => {
      flushes.delete(flush);
      if (!isLost(oppositeLoss)) from.destroy();
    });
  };

  const server = createServer({ allowHalfOpen: true, noDelay: true }, (incoming) => {
    if (mode === ProxyMode.reset) {
      incoming.resetAndDestroy();
      return;
    }
    const outgoing = connect({ port: targetPort, host: '127.0.0.1', allowHalfOpen: true });
    outgoing.setNoDelay(true);
    for (const socket of [incoming, outgoing]) {
      sockets.add(socket);
      socket.on('close', () => sockets.delete(socket));
      // An error is followed by the close event, which also ends the other side.
      socket.on('error', () => undefined);
    }
    const lost = new Set<ProxyMode>();
    losses.add(lost);
    incoming.once('close', () => losses.delete(lost));
    forward(incoming, outgoing, ProxyMode.silentUp, DIRECTIONS, lost);
    forward(outgoing, incoming, ProxyMode.silentDown, DIRECTIONS.toReversed(), lost);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return {
    port: (server.address() as AddressInfo).port,
    setMode: (next) => {
      mode = next;
      if (mode === ProxyMode.loseOpen)
        for (const lost of losses) for (const direction of DIRECTIONS) lost.add(direction);
      if (mode === ProxyMode.reset) for (const socket of sockets) socket.resetAndDestroy();
      for (const flush of flushes) flush();
    },
    close: async () => {
      for (const socket of sockets) socket.destroy();
      await new Promise<void>((resolve) => server.close(() => resolve()));
    },
  };
}
