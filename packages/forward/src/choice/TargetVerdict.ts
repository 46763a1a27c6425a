/**
 * What stands for and against one target for one request.
 */
import type Target from '@burdockcove/types/Target';
import type TargetState from '../health/TargetState.js';
import type RuledOutReason from './RuledOutReason.js';

/** A target without a reason against it is usable; one of last resort only where no other is. */
interface TargetVerdict {
  readonly target: Target;
  readonly state: TargetState;
  readonly free: number;
  readonly ruledOut: RuledOutReason | null;
  readonly lastResort: boolean;
}

export default TargetVerdict;
