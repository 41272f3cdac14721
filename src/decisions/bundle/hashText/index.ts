import { createHash } from 'node:crypto';

/** Hashes a text with SHA-256 and returns hexadecimal digits. */
export function hashText(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}
