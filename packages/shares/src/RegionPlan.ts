/**
 * The plan of one region: which entry VM owns how many slots at which target.
 */

/** One entry VM's row; counts are in the order of the plan's targets. */
interface PlanRow {
  /** `IP:PORT` for callers, the VM's identity. */
  readonly address: string;
  readonly peerAddress: string;
  /** Slots the VM may use. */
  readonly shares: readonly number[];
  /** Slots the VM may still be using, never below `shares`. */
  readonly held: readonly number[];
}

/** For each target the sum of `held` is at most the target's slots. */
interface RegionPlan {
  readonly version: 1;
  readonly region: string;
  readonly configurationRevision: number;
  /** Epoch of the planner role under which it was written. */
  readonly epoch: number;
  /** Longest deadline that any request started under this plan can have, in milliseconds. */
  readonly longestDeadlineMs: number;
  readonly targets: readonly string[];
  /** Slots of each target that the plan was made for. */
  readonly slots: readonly number[];
  readonly rows: readonly PlanRow[];
}

export default RegionPlan;
