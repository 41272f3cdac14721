import { randomBytes } from 'node:crypto';
import { exportJWK, generateKeyPair } from 'jose';
import { hashKey } from '../../../decisions/keys/hashKey/index.js';
import { ExitCode, printResult } from '../_lib/output.js';

const KEY_BYTES = 32;
const KEY_PREFIX = 'blk_';

/** Creates and prints a caller's API key and its digest for the bundle. */
export function createCallerKey(asJson: boolean): ExitCode {
  const key = `${KEY_PREFIX}${randomBytes(KEY_BYTES).toString('base64url')}`;
  const digest = hashKey(key);
  printResult(
    asJson,
    { key, digest },
    `key (for the caller, shown once): ${key}\ndigest (for the bundle): ${digest}`,
  );
  return ExitCode.done;
}

/** Creates and prints an operator's key pair with the given key id. */
export async function createOperatorKey(kid: string, asJson: boolean): Promise<ExitCode> {
  const { privateKey, publicKey } = await generateKeyPair('EdDSA', { extractable: true });
  const privateJwk = { ...(await exportJWK(privateKey)), kid };
  const publicJwk = { ...(await exportJWK(publicKey)), kid };
  printResult(
    asJson,
    { privateKey: privateJwk, publicKey: publicJwk },
    `private key (keep it): ${JSON.stringify(privateJwk)}\npublic key (for --operator-keys): ${JSON.stringify(publicJwk)}`,
  );
  return ExitCode.done;
}
