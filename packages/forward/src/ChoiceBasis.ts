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
}

export default ChoiceBasis;
