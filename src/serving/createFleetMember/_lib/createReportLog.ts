import { addMilliseconds, readMoment, type Moment } from '../../../common/moment.js';
import type { Clock } from '../../../ports/clock.js';
import type { FleetView } from '../../fleetMessages.js';

/** The last reports of this host, by which it tells how old a view is without comparing clocks. */
export interface ReportLog {
  /** Numbers a report that is about to be sent. */
  add: () => number;
  /**
   * Returns the moment up to which the servers in a view are complete: the leader built it after it
   * had received the report that it names. Undefined where the view or the report does not tell.
   */
  findCompleteAsOf: (view: Pick<FleetView, 'reportNumber' | 'serversAgeMs'>) => Moment | undefined;
}

const MAX_REPORTS = 32; // six seconds of rounds; a view that refers to an older one tells nothing

/** Creates the log of a host that has not reported yet. */
export function createReportLog(clock: Clock): ReportLog {
  const sentAt = new Map<number, Moment>();
  let lastNumber = 0;
  return {
    add: () => {
      lastNumber += 1;
      sentAt.set(lastNumber, readMoment(clock));
      sentAt.delete(lastNumber - MAX_REPORTS);
      return lastNumber;
    },
    findCompleteAsOf: ({ reportNumber = 0, serversAgeMs }) => {
      const reportedAt = sentAt.get(reportNumber);
      if (reportedAt === undefined || serversAgeMs === undefined) return undefined;
      return addMilliseconds(reportedAt, -serversAgeMs);
    },
  };
}
