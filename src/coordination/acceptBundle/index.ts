import { isLeft, left, right, type Either } from 'fp-ts/lib/Either.js';
import type { JSONWebKeySet } from 'jose';
import { verifyBundle } from '../../decisions/bundle/verifyBundle/index.js';
import type { SignedBundle } from '../../decisions/bundle/types.js';
import type { Clock } from '../../ports/clock.js';
import type { KeyValueService } from '../../ports/keyValueService.js';
import { buildBundlePartKey, StorageKeys } from '../storageKeys.js';
import { MAX_AUDIT_RECORDS, type BundleHead, type BundleParts } from '../types.js';
import { updateValue } from '../updateValue/index.js';

const MAX_PART_CHARACTERS = 400_000;
const OBSOLETE_PART_LEASE_SECONDS = 60;

/** Dependencies of acceptBundle. */
export interface AcceptBundleOptions {
  service: KeyValueService;
  operatorKeys: JSONWebKeySet;
  clock: Clock;
}

function splitIntoParts(text: string): string[] {
  const parts: string[] = [];
  for (let start = 0; start < text.length; start += MAX_PART_CHARACTERS)
    parts.push(text.slice(start, start + MAX_PART_CHARACTERS));
  return parts;
}

async function writeParts(
  service: KeyValueService,
  digest: string,
  parts: readonly string[],
): Promise<void> {
  for (const [index, text] of parts.entries()) {
    const key = buildBundlePartKey(digest, index);
    const entry = await service.get(key);
    if (entry?.value === text) continue;
    await service.compareAndSwap(key, entry?.revision ?? 0, text);
  }
}

/** Expires the parts of an obsolete bundle with a short lease; the service interface has no delete. */
async function dropParts(service: KeyValueService, { digest, parts }: BundleParts): Promise<void> {
  const lease = await service.grantLease(OBSOLETE_PART_LEASE_SECONDS);
  for (let part = 0; part < parts; part += 1) {
    const key = buildBundlePartKey(digest, part);
    const entry = await service.get(key);
    if (entry !== undefined) await service.compareAndSwap(key, entry.revision, '', { lease });
  }
}

function buildHead(
  { bundle, digest, signer }: SignedBundle,
  parts: number,
  atMs: number,
  head: BundleHead | undefined,
): BundleHead {
  const { version } = bundle;
  const audit = [...(head?.audit ?? []), { atMs, signer, version, digest }].slice(
    -MAX_AUDIT_RECORDS,
  );
  const previous =
    head === undefined
      ? undefined
      : { version: head.version, digest: head.digest, parts: head.parts };
  return { version, digest, parts, signer, previous, audit };
}

/**
 * Verifies a signed bundle and writes its parts, then its head by compare-and-swap. Returns the reason
 * on the left when the signature is invalid or the version is not above the accepted one. Rejects with
 * KeyValueServiceError when the outcome is unknown.
 */
export async function acceptBundle(
  signed: string,
  options: AcceptBundleOptions,
): Promise<Either<string, BundleHead>> {
  const { service, operatorKeys, clock } = options;
  const verified = await verifyBundle(signed, operatorKeys);
  if (isLeft(verified)) return verified;
  const { bundle, digest } = verified.right;
  const parts = splitIntoParts(signed);
  await writeParts(service, digest, parts);
  const { result } = await updateValue<
    BundleHead,
    Either<string, BundleHead> & { obsolete?: BundleParts }
  >(service, StorageKeys.bundleHead, (head) => {
    if (head !== undefined && head.version >= bundle.version)
      return {
        result: left(
          `version ${head.version} stands, signed by ${head.signer}; ${bundle.version} is not above it`,
        ),
      };
    const body = buildHead(verified.right, parts.length, clock.wallMs(), head);
    return { body, result: { ...right(body), obsolete: head?.previous } };
  });
  if (result.obsolete !== undefined && result.obsolete.digest !== digest)
    await dropParts(service, result.obsolete).catch(() => undefined);
  return result;
}
