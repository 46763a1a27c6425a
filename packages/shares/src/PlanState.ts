/**
 * One region's plan as known to this entry VM.
 */
import type RegionPlan from './RegionPlan.js';

/** The newest plan received, with its store revision. */
interface PlanState {
  readonly revision: number;
  readonly plan: RegionPlan;
  /** Index of this VM's row, or -1 if there is none. */
  readonly rowIndex: number;
}

export default PlanState;
