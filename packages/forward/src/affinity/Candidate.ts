/**
 * The state of one target from which the cost of a request there is estimated.
 */

/** Times are in milliseconds. */
interface Candidate {
  /** Position in the object's preference order, from 0. */
  readonly rank: number;
  /** Whether the target has recently handled the object for this VM. */
  readonly isWarm: boolean;
  readonly slots: number;
  /** Estimated number of requests in flight at the target, from all entry VMs. */
  readonly inFlight: number;
  /** Latency relative to the expected latency, 1 or more. */
  readonly slowdown: number;
  readonly roundTripMs: number;
}

export default Candidate;
