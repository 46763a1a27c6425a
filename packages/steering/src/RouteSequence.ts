/**
 * A low-discrepancy sequence, for drawing routes by weight.
 *
 * Multiples of the golden ratio modulo one spread so evenly that the count of draws in any
 * interval differs from its expectation by a few, however long the run.
 */

const GOLDEN_RATIO_FRACTION = (Math.sqrt(5) - 1) / 2;

/** One sequence a selector; kept over rebuilds so that shares stay even. */
export default class RouteSequence {
  /** `position`, the start, is from 0 up to but not including 1. */
  constructor(private position: number) {}

  /** The next number, from 0 up to but not including 1. */
  nextPosition(): number {
    this.position = (this.position + GOLDEN_RATIO_FRACTION) % 1;
    return this.position;
  }
}
