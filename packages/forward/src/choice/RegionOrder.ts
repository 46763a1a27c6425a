/**
 * In which order the regions of a plan are tried.
 */
import type RegionVerdict from './RegionVerdict.js';

/** One class for each objective. */
interface RegionOrder {
  /** `waitMs` is the time until a slot of the nearest region is expected to be free. */
  orderRegions(regions: readonly RegionVerdict[], waitMs: number): readonly RegionVerdict[];
}

export default RegionOrder;
