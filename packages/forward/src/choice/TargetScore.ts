/**
 * Comparison of targets within a region.
 */

/** What is known of a target when two are compared. */
export default interface TargetScore {
  /** The lower the better; `latencyMs` is the target's usual latency, `load` the share of its slots in use. */
  computeScore(latencyMs: number, load: number): number;
}
