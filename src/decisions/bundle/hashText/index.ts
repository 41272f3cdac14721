import { createHash } from 'node:crypto';

/** Computes the SHA-256 hash of a text as hexadecimal digits. */
export function hashText(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}
