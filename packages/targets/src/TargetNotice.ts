/**
 * What a target says of itself with a response, beside the response.
 */

/** Holds for the requests of this VM, whatever the store says of the target. */
interface TargetNotice {
  /** Whether the target is about to stop and wants no new requests. */
  readonly isLeaving: boolean;
  /** How long the target wants no requests from this VM, in milliseconds; zero if it has not asked for that. */
  readonly pauseMs: number;
  /** What could not be read, if anything. */
  readonly fault?: string;
}

export default TargetNotice;
