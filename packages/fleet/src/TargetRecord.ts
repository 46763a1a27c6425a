/**
 * What a target, or the platform for it, says of itself.
 */
import type Target from '@burdockcove/types/Target';

/** One report; times are in milliseconds. */
interface TargetRecord {
  readonly target: Target;
  readonly region: string;
  readonly isLeaving: boolean;
  /** Wall-clock time of the target's start; tells one incarnation from the next. */
  readonly startedAtMs: number;
  /** How much longer the target stayed cold when the report was written. */
  readonly coldMs: number;
}

export default TargetRecord;
