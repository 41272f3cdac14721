import { CompactSign, importJWK, type JWK } from 'jose';
import type { Withdrawal } from '../types.js';

/** JOSE type of a signed key withdrawal. */
export const WITHDRAWAL_TYPE = 'bronzelanding-withdrawal';

/** Statement that an operator signs to withdraw keys. */
export type WithdrawalStatement = Pick<Withdrawal, 'digests' | 'bundleVersion' | 'signedAt'>;

/** Signs a withdrawal of keys as a compact JWS with an operator's private key (EdDSA). */
export async function signWithdrawal(
  statement: WithdrawalStatement,
  privateKey: JWK,
): Promise<string> {
  const payload = new TextEncoder().encode(JSON.stringify(statement));
  return new CompactSign(payload)
    .setProtectedHeader({ alg: 'EdDSA', typ: WITHDRAWAL_TYPE, kid: privateKey.kid ?? '' })
    .sign(await importJWK(privateKey, 'EdDSA'));
}
