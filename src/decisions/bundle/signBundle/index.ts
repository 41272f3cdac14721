import { CompactSign, importJWK, type JWK } from 'jose';
import type { Bundle } from '../types.js';

/** JOSE type of a signed bundle; other signed documents are not accepted as a bundle. */
export const BUNDLE_TYPE = 'bronzelanding-bundle';

/** Signs a checked bundle as a compact JWS with an operator's private key (EdDSA). */
export async function signBundle(bundle: Bundle, privateKey: JWK): Promise<string> {
  const payload = new TextEncoder().encode(JSON.stringify(bundle));
  return new CompactSign(payload)
    .setProtectedHeader({ alg: 'EdDSA', typ: BUNDLE_TYPE, kid: privateKey.kid ?? '' })
    .sign(await importJWK(privateKey, 'EdDSA'));
}
