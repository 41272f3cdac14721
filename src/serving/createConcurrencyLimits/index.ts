import { addHeldTokens, type HeldTokens } from '../../decisions/concurrency/addHeldTokens/index.js';
import type { ConcurrencyLimit } from '../../decisions/concurrency/types.js';
import { hashPart } from '../../decisions/prefixCache/hashPart/index.js';
import { countEvents } from '../../decisions/serving/countEvents/index.js';
import type { SharedPromptPart } from '../../decisions/serving/types.js';
import type { Clock } from '../../ports/clock.js';
import {
  decodeConcurrencyLimits,
  encodeHeldTokens,
  type SentConcurrencyReport,
  type SentConcurrencyView,
} from '../concurrencyMessages.js';

/** A running request, as far as the memory of its server is concerned. */
export interface HeldRequest {
  /** Adds output, as events of a stream, that the request holds from now on. */
  addEvents: (events: Buffer) => void;
  release: () => void;
}

/** What a request holds on a server once it has begun. */
export interface HeldPrompt {
  service: string;
  /** Tokens of the prompt that are not shared. */
  ownTokens: number;
  sharedParts: readonly SharedPromptPart[];
}

/** What servers may run at once, as this host knows it, and what it reports for that. */
export interface ConcurrencyLimits {
  /** Counts the memory of a request that is sent to a server. */
  holdMemory: (server: string, request: HeldPrompt) => HeldRequest;
  /** Records a stream of a route that declares a longest pause. */
  recordStream: (server: string, isLate: boolean) => void;
  /** Returns what was recorded since the last call, and what is held; undefined where limits are off. */
  takeReport: () => SentConcurrencyReport | undefined;
  /** Applies what a view of the leader says; undefined in views of older versions. */
  applyView: (view: SentConcurrencyView | undefined) => void;
  /** Limit of a server; undefined where it is unknown or too old. */
  getLimit: (server: string) => ConcurrencyLimit | undefined;
  /** Estimates the tokens of memory that the requests of all hosts hold on a server. */
  getHeldTokens: (server: string) => number;
  /** All limits that are not too old. */
  listLimits: () => ReadonlyMap<string, ConcurrencyLimit>;
  /** Sets what is called with each view, and when the limits have become too old. */
  onChange: (listener: () => void) => void;
  close: () => void;
}

/** Options of the limits of a host. */
export interface ConcurrencyLimitsOptions {
  clock: Clock;
  /** Share of late streams above which limits are lowered; 0 for no limits. */
  lateShare: number;
  /** Tokens in one event of a stream of a service. */
  getTokensPerEvent: (service: string) => number;
  random: () => number;
}

/** Age from which limits have no effect at the first hosts: the leader sends them once a second. */
export const MAX_LIMIT_AGE_MS = 4000;
/** Time over which the limits end at all hosts, whose queues would be sent at one moment otherwise. */
const EXPIRY_SPREAD_MS = 2000;
const MAX_SERVERS = 10_000; // far more than the servers of a fleet

const NOTHING_HELD: HeldRequest = { addEvents: () => undefined, release: () => undefined };

interface ServerMemory {
  requests: number;
  ownTokens: number;
  parts: Map<number, { tokens: number; requests: number }>;
}

/** Creates the limits of a host that knows none yet. */
export function createConcurrencyLimits(options: ConcurrencyLimitsOptions): ConcurrencyLimits {
  const { clock, lateShare, getTokensPerEvent, random } = options;
  const maximumAgeMs = MAX_LIMIT_AGE_MS + EXPIRY_SPREAD_MS * random();
  const memory = new Map<string, ServerMemory>();
  let streams = new Map<string, [number, number]>();
  let limits: ReadonlyMap<string, ConcurrencyLimit> = new Map();
  let limitsAtMs = -Infinity;
  let remoteHeld: SentConcurrencyView = { held: {}, ownHeld: {} };
  let notify = (): void => undefined;
  let expiryTimer: NodeJS.Timeout | undefined;
  const isCurrent = (): boolean => clock.monotonicMs() - limitsAtMs < maximumAgeMs;

  const describeHeld = ({ ownTokens, parts }: ServerMemory): HeldTokens => ({
    ownTokens,
    parts: new Map([...parts].map(([hash, { tokens }]) => [hash, tokens])),
  });
  /** Shared parts of the last report by server, which the leader has counted. */
  let reportedParts = new Map<string, ReadonlySet<number>>();

  return {
    holdMemory: (server, { service, ownTokens: promptTokens, sharedParts }) => {
      if (lateShare === 0) return NOTHING_HELD;
      const held: ServerMemory = memory.get(server) ?? {
        requests: 0,
        ownTokens: 0,
        parts: new Map(),
      };
      memory.set(server, held);
      held.requests += 1;
      const shared = new Map(sharedParts.map(({ key, tokens }) => [hashPart(key), tokens]));
      for (const [hash, tokens] of shared) {
        const part = held.parts.get(hash) ?? { tokens, requests: 0 };
        part.requests += 1;
        held.parts.set(hash, part);
      }
      let ownTokens = 0;
      const addTokens = (tokens: number): void => {
        ownTokens += tokens;
        held.ownTokens += tokens;
      };
      addTokens(promptTokens);
      return {
        addEvents: (events) => addTokens(countEvents(events) * getTokensPerEvent(service)),
        release: () => {
          held.ownTokens -= ownTokens;
          for (const hash of shared.keys()) {
            const part = held.parts.get(hash);
            if (part === undefined) continue;
            part.requests -= 1;
            if (part.requests === 0) held.parts.delete(hash);
          }
          held.requests -= 1;
          if (held.requests === 0) memory.delete(server);
        },
      };
    },
    recordStream: (server, isLate) => {
      if (lateShare === 0) return;
      const counts = streams.get(server);
      // Without a leader nobody takes the counts.
      if (counts === undefined && streams.size >= MAX_SERVERS) return;
      const [all, late] = counts ?? [0, 0];
      streams.set(server, [all + 1, late + (isLate ? 1 : 0)]);
    },
    takeReport: () => {
      if (lateShare === 0) return undefined;
      const taken = streams;
      streams = new Map();
      reportedParts = new Map([...memory].map(([id, { parts }]) => [id, new Set(parts.keys())]));
      return {
        streams: Object.fromEntries(taken),
        held: Object.fromEntries(
          [...memory].map(([server, held]) => [server, encodeHeldTokens(describeHeld(held))]),
        ),
      };
    },
    applyView: (view) => {
      if (lateShare > 0 && view !== undefined) {
        remoteHeld = view;
        if (view.limits !== undefined) {
          limits = decodeConcurrencyLimits(view.limits);
          limitsAtMs = clock.monotonicMs();
          clearTimeout(expiryTimer);
          // Whoever waits for a server below its limit goes on without limits.
          expiryTimer = setTimeout(() => notify(), maximumAgeMs);
          expiryTimer.unref();
        }
      }
      notify();
    },
    getLimit: (server) => (isCurrent() ? limits.get(server) : undefined),
    getHeldTokens: (server) => {
      const { held, ownHeld } = remoteHeld;
      const otherTokens = Math.max(0, (held[server] ?? 0) - (ownHeld[server] ?? 0));
      const own = memory.get(server);
      if (own === undefined) return otherTokens;
      const current = describeHeld(own);
      const reported = reportedParts.get(server);
      const parts = new Map([...current.parts].filter(([hash]) => reported?.has(hash) !== true));
      const addedTokens = addHeldTokens([{ ownTokens: current.ownTokens, parts }]);
      return Math.max(otherTokens + addedTokens, addHeldTokens([current]));
    },
    listLimits: () => (isCurrent() ? limits : new Map()),
    onChange: (listener) => {
      notify = listener;
    },
    close: () => clearTimeout(expiryTimer),
  };
}
