import type { ControlState } from '../../../coordination/createControlState/index.js';
import type { DemandMeter } from '../../../coordination/createDemandMeter/index.js';
import type { Dispatcher } from '../../../coordination/createDispatcher/index.js';
import type { RateLimiter } from '../../../coordination/createRateLimiter/index.js';
import type { Heartbeat, Peers } from '../../../ports/peers.js';
import type { RefusalCounter } from './createRefusalCounter.js';

/** Parts of an entry host whose state its heartbeats report. */
export interface HeartbeatsOptions {
  host: string;
  /** Unique id of this process run. */
  incarnation: string;
  network: Peers;
  controlState: ControlState;
  rateLimiter: RateLimiter;
  dispatcher: Dispatcher;
  demand: DemandMeter;
  refusalCounter: RefusalCounter;
}

/** Heartbeats of this host. */
export interface Heartbeats {
  /** Builds a heartbeat of the current state. */
  build: () => Heartbeat;
  /** Sends one heartbeat to all connected peers. */
  send: () => void;
}

/** Creates the heartbeats of an entry host; the caller decides when they are sent. */
export function createHeartbeats(options: HeartbeatsOptions): Heartbeats {
  const { host, incarnation, network, controlState, rateLimiter, dispatcher } = options;
  const { demand, refusalCounter } = options;
  const build = (): Heartbeat => {
    const { accepted, withdrawalsDigest, ledgerRevision } = controlState.get();
    return {
      type: 'heartbeat',
      host,
      incarnation,
      bundleVersion: accepted?.bundle.version ?? 0,
      withdrawalsDigest,
      ledgerRevision,
      levels: rateLimiter.getLevels(),
      inFlight: dispatcher.getInFlight(),
      demand: demand.list(),
      refused: refusalCounter.list(),
      slots: rateLimiter.countSlots(),
    };
  };
  return {
    build,
    send: () => {
      const heartbeat = build();
      for (const peer of network.listConnected()) network.send(peer, heartbeat);
    },
  };
}
