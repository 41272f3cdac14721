import type { AddressInfo, Server } from 'node:net';

/** Makes a server listen and resolves with its port; port 0 selects a free one. */
export async function openServer(server: Server, address: string, port: number): Promise<number> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, address, resolve);
  });
  return (server.address() as AddressInfo).port;
}
