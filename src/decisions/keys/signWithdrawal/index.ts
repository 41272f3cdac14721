import { CompactSign, importJWK, type JWK } from 'jose';
import type { Withdrawal } from '../types.js';

/** JOSE type of a signed withdrawal. */
export const WITHDRAWAL_TYPE = 'bronzelanding-withdrawal';

/** What an operator states when withdrawing keys. */
export type WithdrawalStatement = Pick<Withdrawal, 'digests' | 'bundleVersion' | 'signedAt'>;

/** Signs the withdrawal of key digests with an operator's private key. */
export async function signWithdrawal(
  statement: WithdrawalStatement,
  privateKey: JWK,
): Promise<string> {
  const payload = new TextEncoder().encode(JSON.stringify(statement));
  return new CompactSign(payload)
    .setProtectedHeader({ alg: 'EdDSA', typ: WITHDRAWAL_TYPE, kid: privateKey.kid ?? '' })
    .sign(await importJWK(privateKey, 'EdDSA'));
}
