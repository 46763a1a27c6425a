/**
 * Evaluation of the last step of a shift.
 */
import type StepEvaluation from './StepEvaluation.js';

/** Called after a step has been in force at all entry VMs for a whole window. */
interface StepEvaluator {
  /** `sinceMs` is the monotonic time since which the step has been in force at every entry VM. */
  evaluateStep(selector: string, sinceMs: number): Promise<StepEvaluation>;
}

export default StepEvaluator;
