/**
 * A request that is at a target.
 */

/** Times are in milliseconds. */
interface SentMark {
  /** Monotonic time at which it was sent. */
  readonly sentAtMs: number;
  /** How long it was expected to take. */
  readonly expectedMs: number;
}

export default SentMark;
