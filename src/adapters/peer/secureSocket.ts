import { createHash } from 'node:crypto';
import { connect, createServer, type Server, type TLSSocket } from 'node:tls';

const CIPHERS = 'ECDHE-PSK-CHACHA20-POLY1305:DHE-PSK-AES256-GCM-SHA384';
const MAX_VERSION = 'TLSv1.2';
const IDENTITY = 'bronzelanding-entry';

function hashSecret(secret: string): Buffer {
  return createHash('sha256').update(secret).digest();
}

/** Creates a TLS server that only holders of the shared secret can talk to. */
export function createSecureServer(secret: string, onSocket: (socket: TLSSocket) => void): Server {
  const psk = hashSecret(secret);
  const options = {
    ciphers: CIPHERS,
    maxVersion: MAX_VERSION,
    pskCallback: () => psk,
    pskIdentityHint: IDENTITY,
  } as const;
  const server = createServer(options, onSocket);
  server.on('tlsClientError', (_error, socket) => socket.destroy());
  return server;
}

/** Connects to a peer by the shared secret; rejects when the handshake fails or takes too long. */
export function connectSecurely(
  address: string,
  port: number,
  secret: string,
  timeoutMs: number,
): Promise<TLSSocket> {
  const psk = hashSecret(secret);
  return new Promise((resolve, reject) => {
    const socket = connect({
      host: address,
      port,
      ciphers: CIPHERS,
      maxVersion: MAX_VERSION,
      pskCallback: () => ({ psk, identity: IDENTITY }),
      checkServerIdentity: () => undefined,
    });
    const timer = setTimeout(() => socket.destroy(new Error('connect timed out')), timeoutMs);
    socket.once('secureConnect', () => {
      clearTimeout(timer);
      socket.off('error', reject);
      resolve(socket);
    });
    socket.once('error', (error: Error) => {
      clearTimeout(timer);
      reject(error);
    });
  });
}
