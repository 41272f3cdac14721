import { randomUUID } from 'node:crypto';
import type { ControlState } from '../../../coordination/createControlState/index.js';
import type { Ledger } from '../../../decisions/ledger/types.js';
import type {
  ControlStateReply,
  ControlStateRequest,
  Heartbeat,
  Peers,
} from '../../../ports/peers.js';

const FACTS_TIMEOUT_MS = 2000;

/** What taking facts from peers needs. */
export interface ControlStatePullerOptions {
  controlState: ControlState;
  peers: () => Peers;
  /** False while the key-value service itself brings the ledger. */
  needsLedger: () => boolean;
}

function isBehind(facts: ControlState, heartbeat: Heartbeat, needsLedger: boolean): boolean {
  const { accepted, withdrawalsDigest, ledgerRevision } = facts.get();
  if (heartbeat.bundleVersion > (accepted?.bundle.version ?? 0)) return true;
  if (heartbeat.withdrawalsDigest !== withdrawalsDigest) return true;
  return needsLedger && heartbeat.ledgerRevision > ledgerRevision;
}

async function takeFacts(facts: ControlState, reply: ControlStateReply): Promise<void> {
  await facts.offerWithdrawals(reply.withdrawals);
  if (reply.bundle !== undefined) await facts.offerBundle(reply.bundle);
  if (reply.ledger !== undefined)
    facts.offerLedger(JSON.parse(reply.ledger.text) as Ledger, reply.ledger.revision);
}

/** Creates what pulls facts from a peer whose heartbeat shows that this host lacks some. */
export function createControlStatePuller(
  options: ControlStatePullerOptions,
): (heartbeat: Heartbeat) => void {
  const { controlState, peers, needsLedger } = options;
  const pulling = new Set<string>();
  const pull = async (host: string): Promise<void> => {
    const { accepted, ledgerRevision } = controlState.get();
    const reply = await peers().requestControlState(
      host,
      {
        type: 'factsRequest',
        id: randomUUID(),
        bundleVersion: accepted?.bundle.version ?? 0,
        ledgerRevision: needsLedger() ? ledgerRevision : Number.MAX_SAFE_INTEGER,
      },
      FACTS_TIMEOUT_MS,
    );
    if (reply !== undefined) await takeFacts(controlState, reply);
  };
  return (heartbeat) => {
    const { host } = heartbeat;
    if (pulling.has(host) || !isBehind(controlState, heartbeat, needsLedger())) return;
    pulling.add(host);
    void pull(host)
      .catch(() => undefined)
      .finally(() => pulling.delete(host));
  };
}

/** Collects the facts that a peer lacks. */
export function buildControlStateReply(
  facts: ControlState,
  request: ControlStateRequest,
): ControlStateReply {
  const { accepted, signed, withdrawals, ledger, ledgerRevision } = facts.get();
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
