/**
 * The evaluation of one target for one request.
 */
import type Target from '@burdockcove/types/Target';
import type TargetState from '../health/TargetState.js';
import type RuledOutReason from './RuledOutReason.js';

/** A target that is not ruled out is usable; a last resort only if no other target is. */
interface TargetEvaluation {
  readonly target: Target;
  readonly state: TargetState;
  readonly free: number;
  readonly ruledOut: RuledOutReason | null;
  readonly lastResort: boolean;
}

export default TargetEvaluation;
