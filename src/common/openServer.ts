import type { AddressInfo, Server } from 'node:net';

/** Makes a server listen; settles with the port, where 0 asks for a free one. */
export async function openServer(server: Server, address: string, port: number): Promise<number> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, address, resolve);
  });
  return (server.address() as AddressInfo).port;
}
