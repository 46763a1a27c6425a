/**
 * How much traffic a change of a selector's weights may move at once.
 */

/** Over the whole fleet, at most `cap` of the selector's traffic moves in any window. */
interface ShiftLimit {
  /** Share of the selector's traffic, above 0 and up to 1. */
  readonly cap: number;
  readonly windowSeconds: number;
}

export default ShiftLimit;
