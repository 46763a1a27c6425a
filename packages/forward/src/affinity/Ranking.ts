/**
 * The targets that were compared for a request.
 */
import type RankedTarget from './RankedTarget.js';

/** Best target first. */
interface Ranking {
  readonly ranked: readonly RankedTarget[];
  /** Whether all targets that may take the request were compared. */
  readonly isComplete: boolean;
}

export default Ranking;
