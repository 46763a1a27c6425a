/**
 * What one run of the `balance` measurement came to.
 */
import type RunStatistics from '../../simulation/RunStatistics.js';

interface BalanceResult {
  readonly statistics: RunStatistics;
  /** Attempts that targets shed, as a share of all attempts. */
  readonly shedShare: number;
}

export default BalanceResult;
