/**
 * Requests of one service by what callers were told.
 */

/** Counts over some window. */
interface OutcomeCounts {
  readonly answered: number;
  /** Unknown outcomes and cut answers. */
  readonly failed: number;
  /** Requests refused as not run. */
  readonly refused: number;
}

export default OutcomeCounts;
