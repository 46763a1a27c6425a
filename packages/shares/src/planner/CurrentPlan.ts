/**
 * The plan of a region as the planner starts from it.
 */
import type RegionPlan from '../RegionPlan.js';

/** `revision` is zero where the region has no plan yet. */
interface CurrentPlan {
  readonly revision: number;
  readonly plan: RegionPlan | undefined;
}

export default CurrentPlan;
