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

/** Starts a proxy in front of a port; held bytes are forwarded once the mode allows it. */
export async function startProxy(targetPort: number): Promise<Proxy> {
  let mode: ProxyMode = ProxyMode.pass;
  const sockets = new Set<Socket>();
  const flushes = new Set<() => void>();

  const isHeld = (direction: ProxyMode): boolean => mode === ProxyMode.silent || mode === direction;

  const forward = (from: Socket, to: Socket, direction: ProxyMode): void => {
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
    const enqueue = (chunk: Buffer | undefined): void => {
      const delayMs = mode === ProxyMode.delay ? DELAY_MS : 0;
      queue.push({ chunk, dueMs: performance.now() + delayMs });
      flush();
    };
    flushes.add(flush);
    from.on('data', enqueue);
    from.on('end', () => enqueue(undefined));
    from.on('close', () => {
      if (from.errored !== null) to.resetAndDestroy();
    });
    to.on('close', () => {
      flushes.delete(flush);
      from.destroy();
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
    forward(incoming, outgoing, ProxyMode.silentUp);
    forward(outgoing, incoming, ProxyMode.silentDown);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return {
    port: (server.address() as AddressInfo).port,
    setMode: (next) => {
      mode = next;
      if (mode === ProxyMode.reset) for (const socket of sockets) socket.resetAndDestroy();
      for (const flush of flushes) flush();
    },
    close: async () => {
      for (const socket of sockets) socket.destroy();
      await new Promise<void>((resolve) => server.close(() => resolve()));
    },
  };
}
