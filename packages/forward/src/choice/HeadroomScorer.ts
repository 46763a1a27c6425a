/**
 * Comparison of targets for the objective `headroom`.
 */
import type TargetScorer from './TargetScorer.js';

/** Load that weighs as much as one second of latency. */
const LOAD_PER_SECOND = 0.1;
const MS_PER_SECOND = 1_000;

/** Prefers the target with the largest share of free slots; latency decides between nearly equal ones. */
export default class HeadroomScorer implements TargetScorer {
  computeScore(latencyMs: number, load: number): number {
    return load + (LOAD_PER_SECOND * latencyMs) / MS_PER_SECOND;
  }
}
