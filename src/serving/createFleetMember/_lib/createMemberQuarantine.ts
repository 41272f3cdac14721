import type { Clock } from '../../../ports/clock.js';
import { createCrashEvidence, type CrashEvidence } from '../../createCrashEvidence/index.js';
import type { FleetMessage } from '../../fleetMessages.js';
import type { FleetLeader } from '../../startFleetLeader/index.js';
import type { QuarantineClient, SavedPartGroup } from '../../types.js';
import { createPendingReplies } from './createPendingReplies.js';

/** Part of a host in the quarantine of prompt parts that crash servers. */
export interface MemberQuarantine {
  client: QuarantineClient;
  evidence: CrashEvidence;
  settleTrial: (reply: Extract<FleetMessage, { type: 'trialReply' }>) => void;
  setSavedPartGroups: (groups: readonly SavedPartGroup[]) => void;
  /** Stored groups, and those that a leader sent to this host and could not store. */
  listPartGroups: () => SavedPartGroup[];
}

/** Options of a host's part in the quarantine. */
export interface MemberQuarantineOptions {
  clock: Clock;
  /** Whether a leader sends views to this host. */
  isLed: () => boolean;
  /** The leader, if it is this host. */
  getLeader: () => FleetLeader | undefined;
  sendToLeader: (message: FleetMessage) => boolean;
}

const TRIAL_REPLY_TIMEOUT_MS = 500; // one message each way, also to a busy leader

/** Creates a host's part in the quarantine. */
export function createMemberQuarantine(options: MemberQuarantineOptions): MemberQuarantine {
  const { getLeader, sendToLeader } = options;
  const evidence = createCrashEvidence(options.clock, options.isLed);
  const replies = createPendingReplies<boolean>(TRIAL_REPLY_TIMEOUT_MS);
  let savedGroups: readonly SavedPartGroup[] = [];

  const requestTrial = async (parts: readonly string[]): Promise<boolean> => {
    const leader = getLeader();
    if (leader !== undefined) return leader.tryTrial(parts);
    const isGranted = await replies.request((id) =>
      sendToLeader({ type: 'trial', id, parts: [...parts] }),
    );
    return isGranted ?? false;
  };

  return {
    client: {
      listQuarantined: evidence.listQuarantined,
      recordCrash: evidence.recordCrash,
      recordServed: evidence.recordServed,
      requestTrial,
    },
    evidence,
    settleTrial: ({ id, isGranted }) => replies.settle(id, isGranted),
    setSavedPartGroups: (groups) => {
      savedGroups = groups;
      const stored = groups.map(({ parts, crashes, confirmations }) => ({
        parts: [...parts],
        crashes,
        confirmations,
      }));
      evidence.setQuarantine({ watched: [], groups: stored }, 'store');
    },
    listPartGroups: () => {
      const stored = new Set(savedGroups.map(({ parts }) => parts.join()));
      const others = evidence.getGroups().filter(({ parts }) => !stored.has(parts.join()));
      return [
        ...savedGroups,
        ...others.map((group) => ({ ...group, trials: group.confirmations, wasServed: false })),
      ];
    },
  };
}
