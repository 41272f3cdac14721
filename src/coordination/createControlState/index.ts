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

/** What a host knows of bundle, keys and placement. */
export interface ControlStateSnapshot {
  /** The bundle in force; left out until one is known. */
  accepted?: SignedBundle;
  /** The bundle as it was signed. */
  signed?: string;
  withdrawals: readonly Withdrawal[];
  withdrawalsDigest: string;
  keyIndex: KeyIndex;
  ledger: Ledger;
  /** Revision of the ledger in the key-value service. */
  ledgerRevision: number;
}

/** Facts of a host; they only move forward, whoever offers them. */
export interface ControlState {
  get: () => ControlStateSnapshot;
  /** Takes a signed bundle of a higher version; false when it is refused or not higher. */
  offerBundle: (signed: string) => Promise<boolean>;
  /** Merges signed withdrawals; false when none was new. */
  offerWithdrawals: (signed: readonly string[]) => Promise<boolean>;
  /** Takes a ledger of a higher revision. */
  offerLedger: (ledger: Ledger, revision: number) => boolean;
  /** Calls back after each change. */
  watch: (onChange: (snapshot: ControlStateSnapshot) => void) => void;
}

/** Creates the facts of a host that knows nothing yet. */
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

  const setKeys = (accepted: SignedBundle | undefined, withdrawals: Withdrawal[]): void => {
    const kept =
      accepted === undefined ? withdrawals : dropObsoleteWithdrawals(withdrawals, accepted.bundle);
    setSnapshot({
      accepted,
      withdrawals: kept,
      withdrawalsDigest: computeWithdrawalsDigest(kept),
      keyIndex: accepted === undefined ? new Map() : buildKeyIndex(accepted.bundle, kept),
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
      setKeys(verified.right, [...snapshot.withdrawals]);
      log.info({ version, signer: verified.right.signer }, 'bundle in force');
      return true;
    },
    offerWithdrawals: async (signed) => {
      const known = new Set(snapshot.withdrawals.map((item) => item.signed));
      const incoming: Withdrawal[] = [];
      for (const text of signed) {
        if (known.has(text)) continue;
        const verified = await verifyWithdrawal(text, operatorKeys);
        if (isLeft(verified)) log.warn({ reason: verified.left }, 'signed withdrawal refused');
        else incoming.push(verified.right);
      }
      const before = snapshot.withdrawalsDigest;
      setKeys(snapshot.accepted, mergeWithdrawals(snapshot.withdrawals, incoming));
      if (snapshot.withdrawalsDigest === before) return false;
      log.info({ withdrawals: snapshot.withdrawals.length }, 'keys withdrawn');
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
