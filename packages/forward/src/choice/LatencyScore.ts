/**
 * Comparison of targets for the objective `latency`.
 */
import type TargetScore from './TargetScore.js';

/** Weight of a full target against an idle one. */
const LOAD_WEIGHT = 0.5;

/** The target expected to answer first. */
export default class LatencyScore implements TargetScore {
  computeScore(latencyMs: number, load: number): number {
    return latencyMs * (1 + LOAD_WEIGHT * load);
  }
}
