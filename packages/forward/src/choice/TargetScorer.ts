/**
 * Comparison of targets within a region.
 */

/** Implemented by one class for each objective. */
export default interface TargetScorer {
  /** Returns a score; lower is better. `latencyMs` is the target's median latency, `load` the share of its slots in use. */
  computeScore(latencyMs: number, load: number): number;
}
