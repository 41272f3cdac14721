import { connect, createServer, type Socket } from 'node:net';
import type { Test } from 'tap';

/** Starts a proxy to a port; after `silence` nothing passes on the connections open by then. */
export async function startSilentProxy(t: Test, port: number) {
  const sockets = new Set<Socket>();
  let accepted = 0;
  const server = createServer((near) => {
    accepted += 1;
    const far = connect({ host: '127.0.0.1', port });
    for (const [from, to] of [
      [near, far],
      [far, near],
    ] as const) {
      sockets.add(from);
      from.on('error', () => undefined);
      from.on('data', (chunk) => {
        if (sockets.has(from)) to.write(chunk);
      });
      from.once('close', () => {
        if (sockets.delete(from)) to.destroy();
      });
    }
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => server.close());
  const address = server.address();
  if (address === null || typeof address === 'string') throw new Error('the proxy has no port');
  return {
    port: address.port,
    countAccepted: () => accepted,
    silence: () => {
      sockets.clear();
    },
  };
}
