/** How far the decisions for heavy load take effect in a deployment; 0 for not at all. */
export interface LoadOptions {
  /** How much the pace of servers counts in choices and plans. */
  paceWeight: number;
  /** How much the delay of other requests counts in the choice of an engine. */
  othersWeight: number;
  /** How much prompts that wait at an engine count in the plan of replicas. */
  backlogWeight: number;
  /** How far cached prompt parts age with what an engine has processed, instead of after a fixed time. */
  cacheAging: number;
  /** Uses of prompt parts that a host reports to the others in a round at most. */
  prefixReports: number;
  /** How far only what is known counts as cached at the preferred engine of a prefix. */
  knownWeight: number;
  /** How much another copy of a prefix costs in the choice of an engine. */
  copyWeight: number;
}
