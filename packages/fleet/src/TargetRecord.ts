/**
 * State of a target as reported by itself or by the platform.
 */
import type Target from '@burdockcove/types/Target';

/** One report; times are in milliseconds. */
interface TargetRecord {
  readonly target: Target;
  readonly region: string;
  readonly isLeaving: boolean;
  /** Wall-clock time of the target's start; identifies the incarnation. */
  readonly startedAtMs: number;
  /** Remaining cold time when the report was written. */
  readonly coldMs: number;
}

export default TargetRecord;
