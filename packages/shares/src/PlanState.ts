/**
 * What one entry VM knows of one region's plan.
 */
import type RegionPlan from './RegionPlan.js';

/** The newest plan seen and whether its slots may be used. */
interface PlanState {
  readonly revision: number;
  readonly plan: RegionPlan;
  /** Position of this VM's row, or -1. */
  readonly rowIndex: number;
}

export default PlanState;
