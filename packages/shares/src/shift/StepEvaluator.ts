/**
 * What the last step of a shift did.
 */
import type StepEvaluation from './StepEvaluation.js';

/** Judged after each step has been in force everywhere for a whole window. */
interface StepEvaluator {
  /** `sinceMs` is the monotonic time from which the step was in force at every entry VM. */
  evaluateStep(selector: string, sinceMs: number): Promise<StepEvaluation>;
}

export default StepEvaluator;
