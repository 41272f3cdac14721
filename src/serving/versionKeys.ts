import { createHash } from 'node:crypto';
import { z } from 'zod';
import type { ServiceVersion } from '../decisions/softwareVersions/types.js';
import type { FleetStore, StoreItem } from '../ports/fleetStore.js';

// Neither is below the prefix of the fleet's own keys, which all hosts watch.
const STREAM_PREFIX = 'bronzelanding-streams/';
/** Prefix of the keys that name the software versions in service. */
export const VERSION_PREFIX = 'bronzelanding-versions/';

/** Hashes names to 128 bits; callers choose ids, and keys have a limited length. */
function hashNames(...names: readonly string[]): string {
  return createHash('sha256').update(JSON.stringify(names)).digest('base64url').slice(0, 22);
}

/** Builds the key of the record of a stream, from the organisation and the id of the request that began it. */
export function buildStreamKey(organisation: string | undefined, requestId: string): string {
  return `${STREAM_PREFIX}${hashNames(organisation ?? '', requestId)}`;
}

/** Builds the prefix of the version keys of a service. */
export function buildServicePrefix(service: string): string {
  return `${VERSION_PREFIX}${hashNames(service)}/`;
}

/** Builds the key that names a software version in service. */
export function buildVersionKey({ service, version }: ServiceVersion): string {
  return `${buildServicePrefix(service)}${hashNames(version)}`;
}

const streamRecord = z.object({ version: z.string(), server: z.string(), host: z.string() });
const versionKey = z.object({ service: z.string(), version: z.string(), epoch: z.number() });

/** Which software version began a stream, and which server and host relayed its first event. */
export type StreamRecord = z.infer<typeof streamRecord>;
/** A software version as it is stored, with the epoch of the store in which it was written. */
export type VersionKey = z.infer<typeof versionKey>;

function parseJson<T>(schema: z.ZodType<T>, value: Buffer): T | undefined {
  try {
    return schema.safeParse(JSON.parse(value.toString())).data;
  } catch {
    return undefined;
  }
}

/** Parses the record of a stream; undefined if it is malformed. */
export function parseStreamRecord(value: Buffer): StreamRecord | undefined {
  return parseJson(streamRecord, value);
}

/** Parses a software version in service; undefined if it is malformed. */
export function parseVersionKey(value: Buffer): VersionKey | undefined {
  return parseJson(versionKey, value);
}

/**
 * Collects the versions that the items under a prefix name, by service. A service with a key of an earlier
 * epoch is left out: the copy from which the store was restored may lack a version.
 */
export function collectVersions(
  items: readonly StoreItem[],
  epoch: number,
): Map<string, Set<string>> {
  const keys = items.flatMap(({ value }) => parseVersionKey(value) ?? []);
  const outdated = new Set(keys.filter((key) => key.epoch !== epoch).map(({ service }) => service));
  const versions = new Map<string, Set<string>>();
  for (const { service, version } of keys)
    if (!outdated.has(service))
      versions.set(service, (versions.get(service) ?? new Set()).add(version));
  return versions;
}

/** Lists all items under a prefix, over all pages. */
export async function listAll(
  store: Pick<FleetStore, 'list'>,
  prefix: string,
): Promise<StoreItem[]> {
  const items: StoreItem[] = [];
  for (;;) {
    const page = await store.list(prefix, items[items.length - 1]?.key);
    items.push(...page.items);
    if (!page.hasMore || page.items.length === 0) return items;
  }
}
