import { isLeft } from 'fp-ts/lib/Either.js';
import type { JSONWebKeySet } from 'jose';
import { verifyBundle } from '../../decisions/bundle/verifyBundle/index.js';
import type { SignedBundle } from '../../decisions/bundle/types.js';
import { buildKeyIndex } from '../../decisions/keys/buildKeyIndex/index.js';
import {
  computeWithdrawalsDigest,
  dropObsoleteWithdrawals,
  mergeWithdrawals,
} from '../../decisions/keys/mergeWithdrawals/index.js';
import type { KeyIndex, Withdrawal } from '../../decisions/keys/types.js';
import { verifyWithdrawal } from '../../decisions/keys/verifyWithdrawal/index.js';
import type { Ledger } from '../../decisions/ledger/types.js';
import type { Log } from '../../ports/log.js';

/** Bundle, key withdrawals and ledger as one host knows them at one time. */
export interface ControlStateSnapshot {
  /** The accepted bundle; omitted until one is known. */
  accepted?: SignedBundle;
  /** The accepted bundle as signed text. */
  signed?: string;
  withdrawals: readonly Withdrawal[];
  withdrawalsDigest: string;
  keyIndex: KeyIndex;
  ledger: Ledger;
  /** Revision of the ledger in the key-value service. */
  ledgerRevision: number;
}

/** Control state of a host. Each part only moves to a higher version, whatever source it is offered by. */
export interface ControlState {
  /** Returns the current snapshot. */
  get: () => ControlStateSnapshot;
  /** Applies a signed bundle; false when its signature is invalid or its version is not higher. */
  offerBundle: (signed: string) => Promise<boolean>;
  /** Merges signed key withdrawals; false when none was new. */
  offerWithdrawals: (signed: readonly string[]) => Promise<boolean>;
  /** Applies a ledger; false when its revision is not higher. */
  offerLedger: (ledger: Ledger, revision: number) => boolean;
  /** Registers a listener that is called after each change. */
  watch: (onChange: (snapshot: ControlStateSnapshot) => void) => void;
}

/** Creates an empty control state, which verifies what it is offered with the operator keys. */
export function createControlState(operatorKeys: JSONWebKeySet, log: Log): ControlState {
  const listeners: ((snapshot: ControlStateSnapshot) => void)[] = [];
  let snapshot: ControlStateSnapshot = {
    withdrawals: [],
    withdrawalsDigest: computeWithdrawalsDigest([]),
    keyIndex: new Map(),
    ledger: { fencingNumber: 0, engines: {}, audit: [] },
    ledgerRevision: 0,
  };

  const setSnapshot = (change: Partial<ControlStateSnapshot>): void => {
    snapshot = { ...snapshot, ...change };
    for (const listener of listeners) listener(snapshot);
  };

  const setBundleAndWithdrawals = (
    accepted: SignedBundle | undefined,
    withdrawals: Withdrawal[],
  ): void => {
    const remainingWithdrawals =
      accepted === undefined ? withdrawals : dropObsoleteWithdrawals(withdrawals, accepted.bundle);
    setSnapshot({
      accepted,
      withdrawals: remainingWithdrawals,
      withdrawalsDigest: computeWithdrawalsDigest(remainingWithdrawals),
      keyIndex:
        accepted === undefined ? new Map() : buildKeyIndex(accepted.bundle, remainingWithdrawals),
    });
  };

  return {
    get: () => snapshot,
    offerBundle: async (signed) => {
      if (signed === snapshot.signed) return false;
      const verified = await verifyBundle(signed, operatorKeys);
      if (isLeft(verified)) {
        log.warn({ reason: verified.left }, 'signed bundle refused');
        return false;
      }
      const { version } = verified.right.bundle;
      if (version <= (snapshot.accepted?.bundle.version ?? 0)) return false;
      snapshot = { ...snapshot, signed };
      setBundleAndWithdrawals(verified.right, [...snapshot.withdrawals]);
      log.info({ version, signer: verified.right.signer }, 'bundle applied');
      return true;
    },
    offerWithdrawals: async (signed) => {
      const knownTexts = new Set(snapshot.withdrawals.map((item) => item.signed));
      const incoming: Withdrawal[] = [];
      for (const text of signed) {
        if (knownTexts.has(text)) continue;
        const verified = await verifyWithdrawal(text, operatorKeys);
        if (isLeft(verified)) log.warn({ reason: verified.left }, 'signed withdrawal refused');
        else incoming.push(verified.right);
      }
      const previousDigest = snapshot.withdrawalsDigest;
      setBundleAndWithdrawals(snapshot.accepted, mergeWithdrawals(snapshot.withdrawals, incoming));
      if (snapshot.withdrawalsDigest === previousDigest) return false;
      log.info({ withdrawals: snapshot.withdrawals.length }, 'key withdrawals applied');
      return true;
    },
    offerLedger: (ledger, ledgerRevision) => {
      if (ledgerRevision <= snapshot.ledgerRevision) return false;
      setSnapshot({ ledger, ledgerRevision });
      return true;
    },
    watch: (onChange) => {
      listeners.push(onChange);
    },
  };
}
