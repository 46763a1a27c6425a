/**
 * A baseline's way to pick a target.
 */

/** Told the number of own requests in flight at each target; returns the index of one of them. */
interface PickPolicy {
  pickIndex(inFlight: readonly number[]): number;
}

export default PickPolicy;
