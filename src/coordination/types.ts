/** Audit record of an accepted bundle. */
export interface BundleAuditRecord {
  atMs: number;
  signer: string;
  version: number;
  digest: string;
}

/** Reference to the stored parts of a signed bundle. */
export interface BundleParts {
  version: number;
  digest: string;
  /** Number of parts. */
  parts: number;
}

/** Record of the accepted bundle. It contains the audit trail, so that both change in one write. */
export interface BundleHead extends BundleParts {
  signer: string;
  /** The previous bundle, whose parts are kept for hosts that still read them. */
  previous?: BundleParts;
  audit: BundleAuditRecord[];
}

/** Audit record of a key withdrawal. */
export interface WithdrawalAuditRecord {
  atMs: number;
  signer: string;
  digests: string[];
}

/** Signed key withdrawals and their audit trail. */
export interface WithdrawalList {
  signed: string[];
  audit: WithdrawalAuditRecord[];
}

/** Maximum number of records in each audit trail. */
export const MAX_AUDIT_RECORDS = 200;
