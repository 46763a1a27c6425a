/**
 * A low-discrepancy sequence for drawing routes by weight.
 *
 * Multiples of the golden ratio modulo one are distributed so evenly that the number of draws in
 * any interval stays within a few of its expectation, regardless of the length of the run.
 */

const GOLDEN_RATIO_FRACTION = (Math.sqrt(5) - 1) / 2;

/** One sequence per selector; kept across rebuilds so that shares stay even. */
export default class RouteSequence {
  /** `position` is the start of the sequence, from 0 (inclusive) to 1 (exclusive). */
  constructor(private position: number) {}

  /** Returns the next number, from 0 (inclusive) to 1 (exclusive). */
  nextPosition(): number {
    this.position = (this.position + GOLDEN_RATIO_FRACTION) % 1;
    return this.position;
  }
}
