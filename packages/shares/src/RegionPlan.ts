/**
 * The plan of one region: how many slots of each target each entry VM owns.
 */

/** The row of one entry VM; counts are in the order of the plan's targets. */
interface PlanRow {
  /** `IP:PORT` at which the VM serves callers; identifies the VM. */
  readonly address: string;
  readonly peerAddress: string;
  /** Slots that the VM may use. */
  readonly shares: readonly number[];
  /** Slots that the VM may still be using; never below `shares`. */
  readonly held: readonly number[];
}

/** For each target, the sum of `held` is at most the target's slots. */
interface RegionPlan {
  readonly version: 1;
  readonly region: string;
  readonly configurationRevision: number;
  /** Epoch of the planner role in which the plan was written. */
  readonly epoch: number;
  /** Longest deadline of any request started under this plan, in milliseconds. */
  readonly longestDeadlineMs: number;
  readonly targets: readonly string[];
  /** Slots of each target when the plan was computed. */
  readonly slots: readonly number[];
  readonly rows: readonly PlanRow[];
}

export default RegionPlan;
