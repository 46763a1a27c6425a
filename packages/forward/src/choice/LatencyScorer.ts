/**
 * Comparison of targets for the objective `latency`.
 */
import type TargetScorer from './TargetScorer.js';

/** A fully loaded target is expected to take this share longer than an idle one. */
const LOAD_WEIGHT = 0.5;

/** Prefers the target that is expected to respond first. */
export default class LatencyScorer implements TargetScorer {
  computeScore(latencyMs: number, load: number): number {
    return latencyMs * (1 + LOAD_WEIGHT * load);
  }
}
