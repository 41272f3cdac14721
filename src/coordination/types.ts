/** One line of the audit trail of bundles. */
export interface BundleAuditRecord {
  atMs: number;
  signer: string;
  version: number;
  digest: string;
}

/** Where the parts of a signed bundle stand. */
export interface BundleParts {
  version: number;
  digest: string;
  /** Number of parts. */
  parts: number;
}

/** The accepted bundle; its change and its audit record are one write. */
export interface BundleHead extends BundleParts {
  signer: string;
  /** The bundle before, whose parts are still there for hosts that read late. */
  previous?: BundleParts;
  audit: BundleAuditRecord[];
}

/** One line of the audit trail of withdrawals. */
export interface WithdrawalAuditRecord {
  atMs: number;
  signer: string;
  digests: string[];
}

/** Withdrawals that still matter, and the trail of all. */
export interface WithdrawalList {
  signed: string[];
  audit: WithdrawalAuditRecord[];
}

/** Lines that each audit trail keeps. */
export const MAX_AUDIT_RECORDS = 200;
