/**
 * One row of a plan.
 */
import type RegionPlan from './RegionPlan.js';

/** What the plan says about one entry VM. */
type PlanRow = RegionPlan['rows'][number];

export default PlanRow;
