/**
 * What is known of one target for one request.
 */

/** Times are in milliseconds. */
interface Candidate {
  /** Place in the object's ranking, from 0. */
  readonly rank: number;
  /** Whether the target has lately handled the object for this VM. */
  readonly isWarm: boolean;
  readonly slots: number;
  /** Requests at the target now. */
  readonly inFlight: number;
  /** How much longer than usual the target takes, 1 or more. */
  readonly slowness: number;
  readonly roundTripMs: number;
}

export default Candidate;
