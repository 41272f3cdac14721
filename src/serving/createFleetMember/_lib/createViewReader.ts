import { decodeRevision } from '../../../decisions/storeEpochs/decodeRevision/index.js';
import type { FleetLevelsMessage, FleetView, SentRequestLimit } from '../../fleetMessages.js';
import { applyPaces } from '../../paceMessages.js';
import type { FleetMemberOptions } from '../types.js';
import { computeOtherHostsLoads } from './computeOtherHostsLoads.js';
import type { LeaderFeeds } from './createLeaderFeeds.js';
import type { MemberQuarantine } from './createMemberQuarantine.js';
import type { ReportLog } from './createReportLog.js';

/** Options of reading views, beside those of the member. */
export interface ViewReaderOptions extends FleetMemberOptions {
  feeds: Pick<LeaderFeeds, 'recordView'>;
  reports: Pick<ReportLog, 'findCompleteAsOf'>;
  quarantine: Pick<MemberQuarantine, 'evidence'>;
  /** Whether this host leads, and has its own lists. */
  isLeading: () => boolean;
  recordLimits: (limits: readonly SentRequestLimit[]) => void;
}

/** Takes over what views of the leader tell. */
export interface ViewReader {
  apply: (view: FleetView) => void;
  /** Takes over the levels of the rates, which come between views as well. */
  applyLevels: (message: Omit<FleetLevelsMessage, 'type'>) => void;
  /** When a model that is being loaded is expected to be ready, by `SERVICE/MODEL`. */
  findReadyAtMs: (name: string) => number | undefined;
}

/** Creates the reader of a host that has no view yet. */
export function createViewReader(options: ViewReaderOptions): ViewReader {
  const { clock, serverRegistry, rateLimiter, retryBudget, reports, quarantine } = options;
  let modelReadyAtMs: ReadonlyMap<string, number> = new Map();

  const applyServerState = (view: FleetView): void => {
    serverRegistry.setRemoteLoads(computeOtherHostsLoads(view));
    serverRegistry.recordRemoteUses(view.prefixUses ?? {});
    serverRegistry.updateAdapters(
      new Map(Object.entries(view.adapters).map(([server, list]) => [server, new Set(list)])),
    );
    serverRegistry.setUnloadingModels(new Set(view.leavingModels));
    serverRegistry.setSuspects(new Set(view.suspects));
    if (view.limits !== undefined) options.recordLimits(view.limits);
    applyPaces(view, options.serverPaces);
    options.admission.setLevels(view.admission);
    options.concurrency.applyView(view.concurrency);
  };

  /** Takes over the lists that the leader reads from the store for all hosts. */
  const applyLists = (view: FleetView): void => {
    const { evacuations } = view;
    if (evacuations !== undefined)
      options.evacuations.applySent(
        evacuations,
        reports.findCompleteAsOf({ ...view, serversAgeMs: evacuations.ageMs }),
      );
    if (view.isSnapshot || view.servers.length + view.removed.length > 0)
      options.onServers({ ...view, epoch: decodeRevision(view.fence).epoch });
    const asOf = reports.findCompleteAsOf(view);
    if (asOf !== undefined) options.listAge.recordComplete(asOf);
  };

  const applyLevels: ViewReader['applyLevels'] = (message) =>
    rateLimiter.setFleetLevels({
      levels: new Map(Object.entries(message.levels)),
      reportedAdmissions: new Map(Object.entries(message.ownAdmitted)),
      shares: new Map(Object.entries(message.shares)),
    });

  return {
    apply: (view) => {
      const nowMs = clock.monotonicMs();
      options.feeds.recordView(view);
      applyServerState(view);
      if (view.quarantine !== undefined)
        quarantine.evidence.setQuarantine(view.quarantine, 'leader');
      modelReadyAtMs = new Map(
        Object.entries(view.loadingMs).map(([name, remainingMs]) => [name, nowMs + remainingMs]),
      );
      if (!options.isLeading()) applyLists(view);
      applyLevels(view);
      for (const part of [retryBudget, rateLimiter, serverRegistry]) part.setHostCount(view.hosts);
    },
    applyLevels,
    findReadyAtMs: (name) => modelReadyAtMs.get(name),
  };
}
