/**
 * What decided the choice of a target, for logs.
 */

/** Times are in milliseconds. */
interface ChoiceBasis {
  /** Place among the targets by expected time, from 0. */
  readonly place: number;
  /** Expected time until the answer. */
  readonly costMs: number;
  /** Requests believed to be at the target. */
  readonly inFlight: number;
  /** Age of the target's last report; absent: none yet. */
  readonly reportAgeMs?: number;
  readonly isCold: boolean;
}

export default ChoiceBasis;
