/** A signed statement that revokes API keys. */
export interface Withdrawal {
  /** SHA-256 digests of the withdrawn keys. */
  digests: string[];
  /** Bundle version in force when the withdrawal was signed. */
  bundleVersion: number;
  /** Key id of the operator key that signed it. */
  signer: string;
  /** Seconds since the Unix epoch, as stated by the signer. */
  signedAt: number;
  /** The compact JWS, passed on unchanged. */
  signed: string;
}

/** Organisation names by key digest. */
export type KeyIndex = ReadonlyMap<string, string>;
