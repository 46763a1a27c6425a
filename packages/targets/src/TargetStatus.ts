/**
 * What a target says of itself in response to a health check.
 */

/** Nothing here depends on the store. */
interface TargetStatus {
  /** Name of the target that responded; an address may have passed to another target. */
  readonly name: string;
  /** Remaining cold time in milliseconds; zero if the target is warm. */
  readonly coldMs: number;
  /** Whether the target is about to stop and wants no new requests. */
  readonly isLeaving: boolean;
}

export default TargetStatus;
