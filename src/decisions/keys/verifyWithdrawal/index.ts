import { left, right, type Either } from 'fp-ts/lib/Either.js';
import { compactVerify, createLocalJWKSet, type JSONWebKeySet } from 'jose';
import { z } from 'zod';
import { WITHDRAWAL_TYPE } from '../signWithdrawal/index.js';
import type { Withdrawal } from '../types.js';

const statementSchema = z.object({
  digests: z.array(z.string().regex(/^[0-9a-f]{64}$/)).min(1),
  bundleVersion: z.int().min(0),
  signedAt: z.number(),
});

/**
 * Verifies a signed withdrawal against the operators' public keys; returns the error on the left.
 */
export async function verifyWithdrawal(
  signed: string,
  operatorKeys: JSONWebKeySet,
): Promise<Either<string, Withdrawal>> {
  try {
    const { payload, protectedHeader } = await compactVerify(
      signed,
      createLocalJWKSet(operatorKeys),
      { algorithms: ['EdDSA'] },
    );
    if (protectedHeader.typ !== WITHDRAWAL_TYPE) return left('signed text is not a withdrawal');
    const statement = statementSchema.parse(JSON.parse(new TextDecoder().decode(payload)));
    return right({ ...statement, signer: protectedHeader.kid ?? '', signed });
  } catch (error) {
    return left(error instanceof Error ? error.message : String(error));
  }
}
