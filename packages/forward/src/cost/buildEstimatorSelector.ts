/**
 * Builds the estimators of request cost.
 */
import type Clock from '@burdockcove/runtime/Clock';
import type TargetStatsRegistry from '../affinity/TargetStatsRegistry.js';
import type EstimatorOptions from './EstimatorOptions.js';
import EstimatorSelector from './EstimatorSelector.js';
import LatencyCostEstimator from './LatencyCostEstimator.js';
import LearnedCostEstimator from './LearnedCostEstimator.js';

/** Both estimators read the same statistics of targets. */
export default function buildEstimatorSelector(
  clock: Clock,
  stats: TargetStatsRegistry,
  options: EstimatorOptions,
): EstimatorSelector {
  const { getRoundTripMs, getTypicalRoundTripMs, learnsWork, recordEstimate } = options;
  const learned = new LearnedCostEstimator({
    clock,
    stats,
    getRoundTripMs: getTypicalRoundTripMs ?? getRoundTripMs,
    recordError: recordEstimate ?? (() => undefined),
  });
  return new EstimatorSelector(
    new LatencyCostEstimator(stats, getRoundTripMs),
    learned,
    learnsWork,
  );
}
