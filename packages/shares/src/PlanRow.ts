/**
 * One row of a region plan.
 */
import type RegionPlan from './RegionPlan.js';

/** Slots that the plan assigns to one entry VM. */
type PlanRow = RegionPlan['rows'][number];

export default PlanRow;
