/**
 * The existing plan of a region, from which the planner starts.
 */
import type RegionPlan from '../RegionPlan.js';

/** `revision` is zero if the region has no plan yet. */
interface CurrentPlan {
  readonly revision: number;
  readonly plan: RegionPlan | undefined;
}

export default CurrentPlan;
