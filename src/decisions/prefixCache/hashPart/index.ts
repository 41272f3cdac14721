const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Hashes the key of a prompt part to 32 bits (FNV-1a), by which hosts tell each other what engines hold.
 * Two keys with one hash cause a wrong estimate only.
 */
export function hashPart(key: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < key.length; index += 1)
    hash = Math.imul(hash ^ key.charCodeAt(index), FNV_PRIME);
  return hash >>> 0;
}

/** Hashes the keys of prompt parts. */
export function hashParts(parts: readonly { key: string }[]): number[] {
  return parts.map(({ key }) => hashPart(key));
}
