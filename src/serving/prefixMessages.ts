import { z } from 'zod';

/** Most uses of one server in a message. */
export const MAX_USES_PER_SERVER = 1024;
/** Hashes of the prompt parts that requests to a server have shared, by server. */
export const prefixUsesSchema = z.record(
  z.string(),
  z.array(z.number().int().nonnegative()).max(MAX_USES_PER_SERVER),
);

/** Uses of prompt parts as hosts tell them to each other; a part is listed once for each use. */
export type SentPrefixUses = z.infer<typeof prefixUsesSchema>;

/** Adds uses to others, up to a total number; returns how many there are then. */
export function addPrefixUses(
  all: Map<string, number[]>,
  uses: Iterable<readonly [string, readonly number[]]>,
  count: number,
  maximum: number,
): number {
  let total = count;
  for (const [server, hashes] of uses) {
    const list = all.get(server) ?? [];
    const free = Math.min(MAX_USES_PER_SERVER - list.length, maximum - total);
    if (free <= 0) continue;
    const added = hashes.slice(0, free);
    list.push(...added);
    all.set(server, list);
    total += added.length;
  }
  return total;
}
