/** How far the decisions for heavy load take effect in a deployment; 0 for not at all. */
export interface LoadOptions {
  /** How much a server that is slower than others counts in choices and plans. */
  paceWeight: number;
  /** How much the delay of other requests counts in the choice of an engine. */
  othersWeight: number;
  /** How much prompts that wait at an engine count in the plan of replicas. */
  backlogWeight: number;
  /** Highest part of the work of a service that its admission level may refuse. */
  maximumRefusedShare: number;
  /** Part of what is refused that falls first on organisations above their share. */
  fairWeight: number;
  /** Share of late streams above which an engine runs fewer requests at once. */
  concurrencyLateShare: number;
  /** How far cached prompt parts age with what an engine has processed, instead of after a fixed time. */
  cacheAging: number;
  /** Uses of prompt parts that a host reports to the others in a round at most. */
  prefixReports: number;
  /** How far only what is known counts as cached at the preferred engine of a prefix. */
  knownWeight: number;
  /** How much another copy of a prefix costs in the choice of an engine. */
  copyWeight: number;
  /** Most requests that wait at a host for an engine below its limit. */
  hostQueueLength: number;
  /** Multiples of its latency target within which a request that waits has to begin. */
  hostQueueTargets: number;
}
