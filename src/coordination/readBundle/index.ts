import { hashText } from '../../decisions/bundle/hashText/index.js';
import { KeyValueServiceError } from '../../errors/index.js';
import type { KeyValueService } from '../../ports/keyValueService.js';
import { buildBundlePartKey } from '../storageKeys.js';
import type { BundleParts } from '../types.js';

/** Reads a signed bundle from its parts; rejects when a part is missing or the digest differs. */
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
    throw new KeyValueServiceError('the parts of the bundle do not make up its digest');
  return signed;
}
