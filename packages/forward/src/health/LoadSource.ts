/**
 * Source of the targets' load reports.
 */
import type Target from '@burdockcove/types/Target';
import type TargetState from './TargetState.js';

/** Stores the reports in the target's state. */
interface LoadSource {
  /** Starts polling a target that may soon get requests; polling ends unless calls are repeated. */
  watchTarget(target: Target, state: TargetState): void;
  /** Whether the target's first poll has succeeded, failed or timed out; false for a target that is not watched. */
  isInitialPollDone(target: Target): boolean;
}

export default LoadSource;
