/**
 * The evaluation of one region's targets for one request.
 */
import type TargetEvaluation from './TargetEvaluation.js';

/** One region of a plan. */
interface RegionEvaluation {
  readonly region: string;
  readonly oneWayMs: number;
  readonly targets: readonly TargetEvaluation[];
  /** Whether ejection is ignored because too many targets are unhealthy. */
  readonly ejectionIgnored: boolean;
  /** Utilization of the slots that this VM may use in the region, 0 to 1; a moving average. */
  readonly utilization: number;
}

export default RegionEvaluation;
