import type { Clock } from '../../../ports/clock.js';
import { LEVEL_UPDATE_BURST_FRACTION } from '../../createFleetTokenBuckets/index.js';
import type { FleetConnection } from '../../createFleetTransport/index.js';
import type { OrganisationRateLimiter } from '../../createOrganisationRateLimiter/index.js';
import type { FleetLevelsMessage, FleetMessage } from '../../fleetMessages.js';
import type { FleetLeader } from '../../startFleetLeader/index.js';

/** Messages about admitted tokens that are sent between the rounds. */
export interface AdmissionUpdates {
  /** Sends an update, at once or an interval after the last one, if an organisation spent enough. */
  schedule: () => void;
  close: () => void;
}

/** Options of the admission updates. */
export interface AdmissionUpdatesOptions {
  clock: Clock;
  rateLimiter: OrganisationRateLimiter;
  /** Name and incarnation of this host. */
  sender: { host: string; incarnation: string };
  /** Connections of this host, as leader, to the other hosts. */
  connections: ReadonlyMap<string, FleetConnection>;
  getLeader: () => FleetLeader | undefined;
  sendToLeader: (message: FleetMessage) => boolean;
  applyLevels: (message: FleetLevelsMessage) => void;
}

// A busy organisation spends a few percent of its burst in this time.
const MIN_ADMISSION_UPDATE_INTERVAL_MS = 40;
const ADMISSION_UPDATE_INTERVAL_PER_HOST_MS = 5; // each message costs a small host CPU time

/**
 * Creates the updates by which a host reports admissions to the leader, or as leader sends the
 * levels to all hosts, so that hosts do not spend the same tokens between two rounds.
 */
export function createAdmissionUpdates(options: AdmissionUpdatesOptions): AdmissionUpdates {
  const { clock, rateLimiter, sender, connections, getLeader, sendToLeader, applyLevels } = options;
  let updatedAtMs = -Infinity;
  let timer: NodeJS.Timeout | undefined;

  const send = (): void => {
    timer = undefined;
    updatedAtMs = clock.monotonicMs();
    const admissions = { ...sender, admitted: Object.fromEntries(rateLimiter.getAdmitted()) };
    rateLimiter.markReported();
    const leader = getLeader();
    if (leader === undefined) {
      sendToLeader({ type: 'admissions', ...admissions });
      return;
    }
    leader.recordAdmissions(admissions);
    if (!leader.needsLevelUpdate()) return;
    for (const [name, connection] of connections) connection.send(leader.buildLevels(name));
    applyLevels(leader.buildLevels(sender.host));
    leader.markLevelsSent();
  };

  const schedule = (): void => {
    if (timer !== undefined) return;
    if (
      !rateLimiter.needsReport(LEVEL_UPDATE_BURST_FRACTION) &&
      getLeader()?.needsLevelUpdate() !== true
    )
      return;
    const intervalMs = Math.max(
      MIN_ADMISSION_UPDATE_INTERVAL_MS,
      ADMISSION_UPDATE_INTERVAL_PER_HOST_MS * connections.size,
    );
    timer = setTimeout(send, Math.max(0, updatedAtMs + intervalMs - clock.monotonicMs()));
  };
  rateLimiter.onAdmission(schedule);

  return { schedule, close: () => clearTimeout(timer) };
}
