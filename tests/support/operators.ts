import { exportJWK, generateKeyPair, type JSONWebKeySet, type JWK } from 'jose';
import type { Bundle } from '#dist/decisions/bundle/types.js';

/** An operator with the key pair that signs bundles and withdrawals. */
export interface Operator {
  privateKey: JWK;
  keySet: JSONWebKeySet;
}

/** Creates an operator with a new key pair. */
export async function createOperator(kid = 'operator-1'): Promise<Operator> {
  const keyPair = await generateKeyPair('EdDSA', { extractable: true });
  const privateKey = { ...(await exportJWK(keyPair.privateKey)), kid };
  const publicKey = { ...(await exportJWK(keyPair.publicKey)), kid };
  return { privateKey, keySet: { keys: [publicKey] } };
}

/** Builds a bundle with one engine service, two models, one adapter and one plain service. */
export function buildTestBundle(overrides: Partial<Bundle> = {}): Bundle {
  return {
    version: 1,
    services: [{ name: 'moisture', engines: 3, memoryBytes: 100, window: 16 }],
    models: [
      {
        name: 'oak',
        version: 'v1',
        service: 'moisture',
        bytes: 20,
        replicas: 2,
        class: 'standard',
      },
      {
        name: 'pine',
        version: 'v1',
        service: 'moisture',
        bytes: 20,
        replicas: 1,
        class: 'interactive',
      },
    ],
    adapters: [{ name: 'depot', version: 'v1', model: 'oak', bytes: 5 }],
    plainServices: ['certificates'],
    routes: [
      {
        method: 'POST',
        path: '/certificates',
        service: 'certificates',
        idempotent: false,
        open: false,
        class: 'standard',
        tokens: 1,
      },
      {
        method: 'GET',
        path: '/certificates/*',
        service: 'certificates',
        idempotent: true,
        open: false,
        class: 'interactive',
        tokens: 1,
      },
      {
        method: 'GET',
        path: '/opening-hours',
        service: 'certificates',
        idempotent: true,
        open: true,
        class: 'standard',
        tokens: 0,
      },
    ],
    organisations: [],
    limits: { loadsPerSecond: 50, loadsAtOnce: 8, adaptersInFlight: 24 },
    ...overrides,
  };
}
