import { randomUUID } from 'node:crypto';
import type { ControlState } from '../../../coordination/createControlState/index.js';
import type { Ledger } from '../../../decisions/ledger/types.js';
import type {
  ControlStateReply,
  ControlStateRequest,
  Heartbeat,
  Peers,
} from '../../../ports/peers.js';

const REPLY_TIMEOUT_MS = 2000;

/** Dependencies of pulling control state from peers. */
export interface ControlStatePullerOptions {
  controlState: ControlState;
  peers: () => Peers;
  /** Whether the ledger must come from peers; false while the key-value service is reachable. */
  needsLedger: () => boolean;
}

function isBehind(controlState: ControlState, heartbeat: Heartbeat, needsLedger: boolean): boolean {
  const { accepted, withdrawalsDigest, ledgerRevision } = controlState.get();
  if (heartbeat.bundleVersion > (accepted?.bundle.version ?? 0)) return true;
  if (heartbeat.withdrawalsDigest !== withdrawalsDigest) return true;
  return needsLedger && heartbeat.ledgerRevision > ledgerRevision;
}

async function applyReply(controlState: ControlState, reply: ControlStateReply): Promise<void> {
  await controlState.offerWithdrawals(reply.withdrawals);
  if (reply.bundle !== undefined) await controlState.offerBundle(reply.bundle);
  if (reply.ledger !== undefined)
    controlState.offerLedger(JSON.parse(reply.ledger.text) as Ledger, reply.ledger.revision);
}

/**
 * Creates a function that takes the heartbeats of peers and pulls control state from a peer that is ahead of
 * this host. At most one pull per peer is in flight; a failed one is retried with a later heartbeat.
 */
export function createControlStatePuller(
  options: ControlStatePullerOptions,
): (heartbeat: Heartbeat) => void {
  const { controlState, peers, needsLedger } = options;
  const hostsInFlight = new Set<string>();
  const pull = async (host: string): Promise<void> => {
    const { accepted, ledgerRevision } = controlState.get();
    const reply = await peers().requestControlState(
      host,
      {
        type: 'factsRequest',
        id: randomUUID(),
        bundleVersion: accepted?.bundle.version ?? 0,
        // No ledger is newer than the largest revision, so that the reply contains none.
        ledgerRevision: needsLedger() ? ledgerRevision : Number.MAX_SAFE_INTEGER,
      },
      REPLY_TIMEOUT_MS,
    );
    if (reply !== undefined) await applyReply(controlState, reply);
  };
  return (heartbeat) => {
    const { host } = heartbeat;
    if (hostsInFlight.has(host) || !isBehind(controlState, heartbeat, needsLedger())) return;
    hostsInFlight.add(host);
    void pull(host)
      .catch(() => undefined)
      .finally(() => hostsInFlight.delete(host));
  };
}

/** Builds the reply with the control state that a peer lacks. */
export function buildControlStateReply(
  controlState: ControlState,
  request: ControlStateRequest,
): ControlStateReply {
  const { accepted, signed, withdrawals, ledger, ledgerRevision } = controlState.get();
  const isNewer = (accepted?.bundle.version ?? 0) > request.bundleVersion;
  const hasLedger = ledgerRevision > request.ledgerRevision;
  return {
    type: 'factsReply',
    id: request.id,
    ...(isNewer ? { bundle: signed } : {}),
    withdrawals: withdrawals.map((item) => item.signed),
    ...(hasLedger ? { ledger: { revision: ledgerRevision, text: JSON.stringify(ledger) } } : {}),
  };
}
