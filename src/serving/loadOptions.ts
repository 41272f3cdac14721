/** How far the decisions for heavy load take effect in a deployment; 0 for not at all. */
export interface LoadOptions {
  /** How much a server that is slower than others counts in choices and plans. */
  paceWeight: number;
  /** How much the delay of other requests counts in the choice of an engine. */
  othersWeight: number;
  /** How much prompts that wait at an engine count in the plan of replicas. */
  backlogWeight: number;
  /** Share of late streams above which an engine runs fewer requests at once. */
  concurrencyLateShare: number;
  /** Most requests that wait at a host for an engine below its limit. */
  hostQueueLength: number;
  /** Multiples of its latency target within which a request that waits has to begin. */
  hostQueueTargets: number;
}
