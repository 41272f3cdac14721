import { readFile } from 'node:fs/promises';
import { isLeft } from 'fp-ts/lib/Either.js';
import type { JSONWebKeySet, JWK } from 'jose';
import { createEtcdKeyValueService } from '../../../adapters/keyValueService/index.js';
import { OperatorError } from '../../../errors/index.js';
import type { KeyValueService } from '../../../ports/keyValueService.js';
import { parseKeySet, parseUrl } from '../../../settings/index.js';

/** Flags that several commands share; their defaults come from environment variables. */
export const sharedFlags = {
  json: { type: 'boolean', default: false, describe: 'Print JSON for programs' },
  'key-value-service': {
    type: 'string',
    describe: "Origin of the platform's key-value service [BRONZELANDING_KEY_VALUE_SERVICE]",
    default: process.env.BRONZELANDING_KEY_VALUE_SERVICE,
    defaultDescription: 'from the environment',
  },
  'operator-keys': {
    type: 'string',
    describe: "Operators' public keys, a JSON Web Key Set or @FILE [BRONZELANDING_OPERATOR_KEYS]",
    default: process.env.BRONZELANDING_OPERATOR_KEYS,
    defaultDescription: 'from the environment',
  },
  'operator-key': {
    type: 'string',
    describe: 'Your private key, a JSON Web Key or @FILE [BRONZELANDING_OPERATOR_KEY]',
    default: process.env.BRONZELANDING_OPERATOR_KEY,
    defaultDescription: 'from the environment',
  },
} as const;

/** Reads a file named on the command line; `-` is standard input. */
export async function readInput(path: string): Promise<string> {
  try {
    return await readFile(path === '-' ? '/dev/stdin' : path, 'utf8');
  } catch (cause) {
    throw new OperatorError(`${path} cannot be read`, { cause });
  }
}

async function readTextOrFile(flag: string, text: string | undefined): Promise<string> {
  if (text === undefined) throw new OperatorError(`--${flag} is required`);
  return text.startsWith('@') ? readInput(text.slice(1)) : text;
}

/** Reads the operators' public keys from a flag, which holds a JSON Web Key Set or `@FILE`. */
export async function readOperatorKeys(text: string | undefined): Promise<JSONWebKeySet> {
  const parsed = parseKeySet(await readTextOrFile('operator-keys', text));
  if (isLeft(parsed)) throw new OperatorError(`--operator-keys ${parsed.left}`);
  return parsed.right;
}

/** Reads an operator's private key from a flag, which holds a JSON Web Key or `@FILE`. */
export async function readOperatorKey(text: string | undefined): Promise<JWK> {
  const json = await readTextOrFile('operator-key', text);
  try {
    const key = JSON.parse(json) as JWK;
    if (key.kty !== 'OKP' || typeof key.d !== 'string' || typeof key.kid !== 'string')
      throw new OperatorError('not a private key');
    return key;
  } catch (cause) {
    throw new OperatorError('--operator-key is not a private Ed25519 JSON Web Key with an id', {
      cause,
    });
  }
}

const SERVICE_TIMEOUT_MS = 3000;

/** Opens a client of the key-value service whose origin is given by the flag. */
export function openKeyValueService(
  origin: string | undefined,
): KeyValueService & { close: () => Promise<void> } {
  const parsed = parseUrl(origin ?? '');
  if (isLeft(parsed)) throw new OperatorError(`--key-value-service ${parsed.left}`);
  return createEtcdKeyValueService(parsed.right, { timeoutMs: SERVICE_TIMEOUT_MS });
}
