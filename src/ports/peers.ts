/** What a host tells its peers a few times a second. */
export interface Heartbeat {
  type: 'heartbeat';
  host: string;
  incarnation: string;
  /** Version in force; 0 without a bundle. */
  bundleVersion: number;
  withdrawalsDigest: string;
  ledgerRevision: number;
  /** Bucket units by organisation that peers may borrow. */
  levels: Record<string, number>;
  /** Own requests in flight by backend server. */
  inFlight: Record<string, number>;
  /** Own demand by model or adapter in tokens a second. */
  demand: Record<string, number>;
  /** Requests refused for rate in the last minute by organisation. */
  refused: Record<string, number>;
  slots: number;
}

/** Asks for units of an organisation's bucket. */
export interface LoanRequest {
  type: 'loanRequest';
  id: string;
  organisation: string;
  units: number;
}

/** Grants some or all of the units; those that arrive too late are lost. */
export interface LoanReply {
  type: 'loanReply';
  id: string;
  units: number;
  /** What the lender has left. */
  level: number;
}

/** Tells the lender how much of a loan was used. */
export interface LoanSettlement {
  type: 'loanSettlement';
  id: string;
  organisation: string;
  units: number;
}

/** Asks for the facts that the sender lacks. */
export interface ControlStateRequest {
  type: 'factsRequest';
  id: string;
  bundleVersion: number;
  ledgerRevision: number;
}

/** Facts as signed texts, and the ledger as the sender last saw it. */
export interface ControlStateReply {
  type: 'factsReply';
  id: string;
  bundle?: string;
  withdrawals: string[];
  ledger?: { revision: number; text: string };
}

/** Passes new withdrawals on at once. */
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
  /** Ids of the peers that a message can be sent to now. */
  listConnected: () => string[];
  /** Sends without an answer; false when there is no connection. */
  send: (host: string, message: PeerMessage) => boolean;
  /** Sends a loan request and waits; undefined when no answer came in time. */
  requestLoan: (
    host: string,
    message: LoanRequest,
    timeoutMs: number,
  ) => Promise<LoanReply | undefined>;
  /** Asks for facts; undefined when no answer came in time. */
  requestControlState: (
    host: string,
    message: ControlStateRequest,
    timeoutMs: number,
  ) => Promise<ControlStateReply | undefined>;
}
