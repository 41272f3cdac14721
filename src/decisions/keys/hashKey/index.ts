import { hashText } from '../../bundle/hashText/index.js';

/** Computes the digest of an API key, as stored in bundles and withdrawals. */
export function hashKey(key: string): string {
  return hashText(key);
}
