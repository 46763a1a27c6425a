/**
 * The targets of one region, judged for one request.
 */
import type TargetVerdict from './TargetVerdict.js';

/** One region of a plan. */
interface RegionVerdict {
  readonly region: string;
  readonly oneWayMs: number;
  readonly targets: readonly TargetVerdict[];
  /** Whether so many targets look sick that ejection is ignored. */
  readonly ejectionIgnored: boolean;
  /** Share of the slots that this VM may use there which are in use, averaged; 0 to 1. */
  readonly use: number;
}

export default RegionVerdict;
