/**
 * The figures behind the choice of a target, for logs.
 */

/** Times are in milliseconds. */
interface ChoiceBasis {
  /** Rank among the targets by expected time, from 0. */
  readonly place: number;
  /** Expected time until the response. */
  readonly costMs: number;
  /** Estimated number of in-flight requests at the target. */
  readonly inFlight: number;
  /** Age of the target's last load report; absent if there is none yet. */
  readonly reportAgeMs?: number;
  readonly isCold: boolean;
  /** Whether the store or a health check vouched for what was known of the cold time. */
  readonly isConfirmed: boolean;
  /** Age of what the store has told of the targets; absent before its first response. */
  readonly stateAgeMs?: number;
  /** Number of entry VMs by which limits of the whole fleet are divided. */
  readonly entryVms: number;
}

export default ChoiceBasis;
