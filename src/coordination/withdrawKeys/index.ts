import { isLeft, right, type Either } from 'fp-ts/lib/Either.js';
import type { JSONWebKeySet } from 'jose';
import { verifyWithdrawal } from '../../decisions/keys/verifyWithdrawal/index.js';
import type { Clock } from '../../ports/clock.js';
import type { KeyValueService } from '../../ports/keyValueService.js';
import { StorageKeys } from '../storageKeys.js';
import { MAX_AUDIT_RECORDS, type WithdrawalList } from '../types.js';
import { updateValue } from '../updateValue/index.js';

/** Dependencies of withdrawKeys. */
export interface WithdrawKeysOptions {
  service: KeyValueService;
  operatorKeys: JSONWebKeySet;
  clock: Clock;
}

/**
 * Verifies a signed key withdrawal and adds it to the list in the key-value service; idempotent.
 * Returns the error on the left when it is invalid; rejects like updateValue.
 */
export async function withdrawKeys(
  signed: string,
  options: WithdrawKeysOptions,
): Promise<Either<string, WithdrawalList>> {
  const { service, operatorKeys, clock } = options;
  const verified = await verifyWithdrawal(signed, operatorKeys);
  if (isLeft(verified)) return verified;
  const { signer, digests } = verified.right;
  const { result } = await updateValue<WithdrawalList, WithdrawalList>(
    service,
    StorageKeys.withdrawals,
    (list = { signed: [], audit: [] }) => {
      if (list.signed.includes(signed)) return { result: list };
      const record = { atMs: clock.wallMs(), signer, digests };
      const body = {
        signed: [...list.signed, signed],
        audit: [...list.audit, record].slice(-MAX_AUDIT_RECORDS),
      };
      return { body, result: body };
    },
  );
  return right(result);
}
