/**
 * Comparison of targets for the objective `headroom`.
 */
import type TargetScore from './TargetScore.js';

/** Load that a latency of one second outweighs. */
const LOAD_PER_SECOND = 0.1;
const MS_PER_SECOND = 1_000;

/** The target with the largest free share; latency decides between nearly equal ones. */
export default class HeadroomScore implements TargetScore {
  computeScore(latencyMs: number, load: number): number {
    return load + (LOAD_PER_SECOND * latencyMs) / MS_PER_SECOND;
  }
}
