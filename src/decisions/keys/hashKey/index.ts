import { hashText } from '../../bundle/hashText/index.js';

/** Hashes a caller's key to the digest that bundles and withdrawals hold. */
export function hashKey(key: string): string {
  return hashText(key);
}
