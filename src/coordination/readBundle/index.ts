import { hashText } from '../../decisions/bundle/hashText/index.js';
import { KeyValueServiceError } from '../../errors/index.js';
import type { KeyValueService } from '../../ports/keyValueService.js';
import { buildBundlePartKey } from '../storageKeys.js';
import type { BundleParts } from '../types.js';

/**
 * Reads the parts of a signed bundle and joins them to its text. Rejects with KeyValueServiceError
 * when a part is missing or the digest does not match.
 */
export async function readBundle(
  service: KeyValueService,
  { digest, parts }: BundleParts,
): Promise<string> {
  const texts: string[] = [];
  for (let part = 0; part < parts; part += 1) {
    const entry = await service.get(buildBundlePartKey(digest, part));
    texts.push(entry?.value ?? '');
  }
  const signed = texts.join('');
  if (hashText(signed) !== digest)
    throw new KeyValueServiceError('stored bundle parts do not match the digest of the bundle');
  return signed;
}
