/**
 * The order in which the regions of a plan are tried.
 */
import type RegionEvaluation from './RegionEvaluation.js';

/** Implemented by one class for each objective. */
interface RegionOrder {
  /** Orders the regions, and may leave some out. `waitMs` is the expected time until a slot of the nearest region is free. */
  orderRegions(regions: readonly RegionEvaluation[], waitMs: number): readonly RegionEvaluation[];
}

export default RegionOrder;
