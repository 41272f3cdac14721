/** A signed statement that keys no longer count. */
export interface Withdrawal {
  /** SHA-256 digests of the withdrawn keys. */
  digests: string[];
  /** Bundle version that stood when it was signed. */
  bundleVersion: number;
  signer: string;
  /** Seconds since the Unix epoch, as the signer states. */
  signedAt: number;
  /** The compact JWS itself, as it is passed on. */
  signed: string;
}

/** Finds the organisation of a key's digest. */
export type KeyIndex = ReadonlyMap<string, string>;
