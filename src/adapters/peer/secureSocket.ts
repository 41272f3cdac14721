import { createHash } from 'node:crypto';
import { connect, createServer, type Server, type TLSSocket } from 'node:tls';

const CIPHERS = 'ECDHE-PSK-CHACHA20-POLY1305:DHE-PSK-AES256-GCM-SHA384';
/** The PSK cipher suites above belong to TLS 1.2. */
const MAX_TLS_VERSION = 'TLSv1.2';
const PSK_IDENTITY = 'bronzelanding-entry';

function buildPreSharedKey(secret: string): Buffer {
  return createHash('sha256').update(secret).digest();
}

/** Creates a TLS server that accepts only clients with the pre-shared secret. */
export function createSecureServer(secret: string, onSocket: (socket: TLSSocket) => void): Server {
  const psk = buildPreSharedKey(secret);
  const options = {
    ciphers: CIPHERS,
    maxVersion: MAX_TLS_VERSION,
    pskCallback: () => psk,
    pskIdentityHint: PSK_IDENTITY,
  } as const;
  const server = createServer(options, onSocket);
  server.on('tlsClientError', (_error, socket) => socket.destroy());
  return server;
}

/** Connects to a peer over TLS with the pre-shared secret; rejects when the handshake fails or times out. */
export function connectSecurely(
  address: string,
  port: number,
  secret: string,
  timeoutMs: number,
): Promise<TLSSocket> {
  const psk = buildPreSharedKey(secret);
  return new Promise((resolve, reject) => {
    const socket = connect({
      host: address,
      port,
      ciphers: CIPHERS,
      maxVersion: MAX_TLS_VERSION,
      pskCallback: () => ({ psk, identity: PSK_IDENTITY }),
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
