import { hashText } from '../../bundle/hashText/index.js';

/** Computes the SHA-256 of an API key in hexadecimal, as stored in bundles and withdrawals. */
export function hashKey(key: string): string {
  return hashText(key);
}
