import { left, right, type Either } from 'fp-ts/lib/Either.js';
import { compactVerify, createLocalJWKSet, type JSONWebKeySet } from 'jose';
import { hashText } from '../hashText/index.js';
import { BUNDLE_TYPE } from '../signBundle/index.js';
import { bundleSchema, type SignedBundle } from '../types.js';

/** Verifies a signed bundle against the operators' public keys; returns the error on the left. */
export async function verifyBundle(
  signed: string,
  operatorKeys: JSONWebKeySet,
): Promise<Either<string, SignedBundle>> {
  try {
    const { payload, protectedHeader } = await compactVerify(
      signed,
      createLocalJWKSet(operatorKeys),
      { algorithms: ['EdDSA'] },
    );
    if (protectedHeader.typ !== BUNDLE_TYPE) return left('signed text is not a bundle');
    const bundle = bundleSchema.safeParse(JSON.parse(new TextDecoder().decode(payload)));
    if (!bundle.success) return left('signed bundle does not match the schema of this release');
    return right({
      bundle: bundle.data,
      signer: protectedHeader.kid ?? '',
      digest: hashText(signed),
    });
  } catch (error) {
    return left(error instanceof Error ? error.message : String(error));
  }
}
