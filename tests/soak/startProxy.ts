import { connect, createServer, type AddressInfo, type Socket } from 'node:net';

/** What a proxy does with the connections that pass it. */
export const ProxyMode = {
  pass: 'pass',
  /** Holds each chunk for a while. */
  delay: 'delay',
  /** Lets nothing through, in both directions. */
  silent: 'silent',
  /** Lets nothing through towards the target. */
  silentUp: 'silentUp',
  /** Lets nothing through from the target. */
  silentDown: 'silentDown',
  /** Resets what is open and what comes. */
  reset: 'reset',
} as const;
export type ProxyMode = (typeof ProxyMode)[keyof typeof ProxyMode];

/** A proxy on loopback between two programs. */
export interface Proxy {
  port: number;
  setMode: (mood: ProxyMode) => void;
  close: () => Promise<void>;
}

const DELAY_MS = 150;

/** Starts a proxy before a port; bytes that are held go on once the mood allows it. */
export async function startProxy(targetPort: number): Promise<Proxy> {
  let mood: ProxyMode = ProxyMode.pass;
  const sockets = new Set<Socket>();
  const resumes = new Set<() => void>();

  const isHeld = (direction: ProxyMode): boolean => mood === ProxyMode.silent || mood === direction;

  const join = (from: Socket, to: Socket, direction: ProxyMode): void => {
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
    const add = (chunk: Buffer | undefined): void => {
      const delayMs = mood === ProxyMode.delay ? DELAY_MS : 0;
      queue.push({ chunk, dueMs: performance.now() + delayMs });
      flush();
    };
    resumes.add(flush);
    from.on('data', add);
    from.on('end', () => add(undefined));
    from.on('close', () => {
      if (from.errored !== null) to.resetAndDestroy();
    });
    to.on('close', () => {
      resumes.delete(flush);
      from.destroy();
    });
  };

  const server = createServer({ allowHalfOpen: true, noDelay: true }, (incoming) => {
    if (mood === ProxyMode.reset) {
      incoming.resetAndDestroy();
      return;
    }
    const outgoing = connect({ port: targetPort, host: '127.0.0.1', allowHalfOpen: true });
    outgoing.setNoDelay(true);
    for (const socket of [incoming, outgoing]) {
      sockets.add(socket);
      socket.on('close', () => sockets.delete(socket));
      // Errors end both sides through their close events.
      socket.on('error', () => undefined);
    }
    join(incoming, outgoing, ProxyMode.silentUp);
    join(outgoing, incoming, ProxyMode.silentDown);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return {
    port: (server.address() as AddressInfo).port,
    setMode: (next) => {
      mood = next;
      if (mood === ProxyMode.reset) for (const socket of sockets) socket.resetAndDestroy();
      for (const resume of resumes) resume();
    },
    close: async () => {
      for (const socket of sockets) socket.destroy();
      await new Promise<void>((resolve) => server.close(() => resolve()));
    },
  };
}
