/**
 * The figures behind the choice of a target, for logs.
 */

/** Times are in milliseconds. */
interface ChoiceBasis {
  /** Rank among the targets by expected time, or by expected loss where work is learned, from 0. */
  readonly place: number;
  /** Expected time until the response. */
  readonly costMs: number;
  /** Estimated number of in-flight requests at the target. */
  readonly inFlight: number;
  /** Age of the target's last load report; absent if there is none yet. */
  readonly reportAgeMs?: number;
  /** Expected work at the target's present pace. The fields up to `goalChance` are absent where no work is learned. */
  readonly workMs?: number;
  /** Work of other requests that the target still has to do. */
  readonly workLeftMs?: number;
  /** Time that work takes on the target's machine, relative to the usual time. */
  readonly workTimeRatio?: number;
  /** Chance that the response comes within the latency goal, 0 to 1. */
  readonly goalChance?: number;
  readonly isCold: boolean;
  /** Whether the store or a health check vouched for what was known of the cold time. */
  readonly isConfirmed: boolean;
  /** Age of what the store has told of the targets; absent before its first response. */
  readonly stateAgeMs?: number;
  /** Number of entry VMs by which limits of the whole fleet are divided. */
  readonly entryVms: number;
}

export default ChoiceBasis;
