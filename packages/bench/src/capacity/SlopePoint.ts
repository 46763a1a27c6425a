/**
 * One measurement at one size.
 */

/** `size` counts what grows; `value` is in the slope's unit. */
interface SlopePoint {
  readonly size: number;
  readonly value: number;
}

export default SlopePoint;
