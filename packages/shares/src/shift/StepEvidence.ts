/**
 * What the last step of a shift did.
 */
import type StepJudgement from './StepJudgement.js';

/** Judged after each step has been in force everywhere for a whole window. */
interface StepEvidence {
  /** `sinceMs` is the monotonic time from which the step was in force at every entry VM. */
  judgeStep(selector: string, sinceMs: number): Promise<StepJudgement>;
}

export default StepEvidence;
