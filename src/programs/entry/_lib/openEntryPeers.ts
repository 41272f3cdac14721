import { openPeerNetwork, type PeerNetwork } from '../../../adapters/peer/index.js';
import type { ControlState } from '../../../coordination/createControlState/index.js';
import {
  createRateLimiter,
  type RateLimiter,
} from '../../../coordination/createRateLimiter/index.js';
import type { Clock } from '../../../ports/clock.js';
import type { Log } from '../../../ports/log.js';
import type { EntrySettings } from '../settings.js';
import { buildControlStateReply, createControlStatePuller } from './createControlStatePuller.js';
import type { PeerRegistry } from './createPeerRegistry.js';

/** Dependencies and options of the connections to peers. */
export interface EntryPeersOptions {
  settings: EntrySettings;
  /** Unique id of this process run. */
  incarnation: string;
  clock: Clock;
  log: Log;
  controlState: ControlState;
  peerRegistry: PeerRegistry;
  /** Whether the ledger must come from peers; false while the key-value service is reachable. */
  needsLedger: () => boolean;
}

/** The network of entry hosts, and what they share over it. */
export interface EntryPeers {
  network: PeerNetwork;
  /** Rate limiter that borrows from peers and lends to them. */
  rateLimiter: RateLimiter;
  /** Applies signed withdrawals, and sends them to all peers immediately if any was new. */
  applyWithdrawals: (signed: readonly string[]) => Promise<void>;
}

/** Opens the peer network with the handlers of heartbeats, loans, control state and withdrawals. */
export async function openEntryPeers(options: EntryPeersOptions): Promise<EntryPeers> {
  const { settings, incarnation, clock, log, controlState, peerRegistry, needsLedger } = options;
  let lastLoanNumber = 0;
  const findOrganisation = (name: string) =>
    controlState.get().accepted?.bundle.organisations.find((item) => item.name === name);
  const rateLimiter = createRateLimiter({
    clock,
    createId: () => `${incarnation}.${++lastLoanNumber}`,
    listLenders: (name) => {
      const organisation = findOrganisation(name);
      return organisation === undefined ? [] : peerRegistry.listLenders(organisation);
    },
    requestLoan: async (peer, request, timeoutMs) => {
      const reply = await network.requestLoan(peer, request, timeoutMs);
      if (reply !== undefined) peerRegistry.recordLevel(peer, request.organisation, reply.level);
      return reply;
    },
    sendSettlement: (peer, settlement) => void network.send(peer, settlement),
  });

  const pullControlState = createControlStatePuller({
    controlState,
    peers: () => network,
    needsLedger,
  });
  const network: PeerNetwork = await openPeerNetwork({
    host: settings.hostId,
    incarnation,
    address: settings.address,
    port: settings.peerPort,
    secret: settings.peerSecret,
    log,
    handlers: {
      handleHeartbeat: (heartbeat) => {
        peerRegistry.recordHeartbeat(heartbeat);
        pullControlState(heartbeat);
      },
      grantLoan: rateLimiter.grantLoan,
      settleLoan: rateLimiter.settleLoan,
      collectControlState: (request) => buildControlStateReply(controlState, request),
      acceptWithdrawals: ({ signed }) => void applyWithdrawals(signed),
    },
  });

  async function applyWithdrawals(signed: readonly string[]): Promise<void> {
    if (!(await controlState.offerWithdrawals(signed))) return;
    for (const peer of network.listConnected())
      network.send(peer, { type: 'withdrawalNotice', signed: [...signed] });
  }

  return { network, rateLimiter, applyWithdrawals };
}
