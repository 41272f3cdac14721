/**
 * State that an entry host sends to each peer several times a second: a sign of life, versions
 * that show newer control state, the load on backend servers, the units that peers may borrow, and
 * figures that the fleet-wide status adds up (`demand`, which placement uses, and `refused`).
 */
export interface Heartbeat {
  type: 'heartbeat';
  host: string;
  incarnation: string;
  /** Version of the bundle in force; 0 without a bundle. */
  bundleVersion: number;
  withdrawalsDigest: string;
  ledgerRevision: number;
  /** Bucket units by organisation that peers may borrow from this host. */
  levels: Record<string, number>;
  /** Requests of this host in flight by backend server. */
  inFlight: Record<string, number>;
  /** Demand on this host by model or adapter in tokens per second. */
  demand: Record<string, number>;
  /** Requests rejected by the rate limiter in the last minute, by organisation. */
  refused: Record<string, number>;
  /** Rate limiter slots that this host holds; each is a fixed part of every rate and burst. */
  slots: number;
}

/**
 * Asks to borrow from the lender's token bucket of an organisation. Buckets count in units, which
 * are `UNITS_PER_TOKEN` to a token.
 */
export interface LoanRequest {
  type: 'loanRequest';
  id: string;
  organisation: string;
  units: number;
}

/** Grants some or all of the units; a reply that arrives too late is lost with its units. */
export interface LoanReply {
  type: 'loanReply';
  id: string;
  units: number;
  /** Level of the lender after the loan. */
  level: number;
}

/** Reports to the lender how many units of a loan were used. */
export interface LoanSettlement {
  type: 'loanSettlement';
  id: string;
  organisation: string;
  units: number;
}

/** Asks for the control state that the sender lacks. */
export interface ControlStateRequest {
  type: 'factsRequest';
  id: string;
  bundleVersion: number;
  ledgerRevision: number;
}

/** Control state: signed bundle and withdrawals, and the last ledger that the sender has read. */
export interface ControlStateReply {
  type: 'factsReply';
  id: string;
  bundle?: string;
  withdrawals: string[];
  ledger?: { revision: number; text: string };
}

/** Passes on new key withdrawals without waiting for the next heartbeat. */
export interface WithdrawalNotice {
  type: 'withdrawalNotice';
  signed: string[];
}

/** First message on each connection. */
export interface Hello {
  type: 'hello';
  host: string;
  incarnation: string;
}

/** A message between entry hosts. */
export type PeerMessage =
  | Hello
  | Heartbeat
  | LoanRequest
  | LoanReply
  | LoanSettlement
  | ControlStateRequest
  | ControlStateReply
  | WithdrawalNotice;

/** Connections to the other entry hosts. */
export interface Peers {
  /** Ids of the peers with an open connection. */
  listConnected: () => string[];
  /** Sends a message without waiting for a reply; returns false without a connection. */
  send: (host: string, message: PeerMessage) => boolean;
  /** Sends a loan request and waits for the reply; undefined after the timeout. */
  requestLoan: (
    host: string,
    message: LoanRequest,
    timeoutMs: number,
  ) => Promise<LoanReply | undefined>;
  /** Asks a peer for control state and waits for the reply; undefined after the timeout. */
  requestControlState: (
    host: string,
    message: ControlStateRequest,
    timeoutMs: number,
  ) => Promise<ControlStateReply | undefined>;
}
