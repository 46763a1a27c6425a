/**
 * Where the load reports of targets come from.
 */
import type Target from '@burdockcove/types/Target';
import type TargetState from './TargetState.js';

/** Reports are kept in the target's state. */
interface LoadSource {
  /** Notes that the target may soon get work, so that its reports are wanted. */
  watchTarget(target: Target, state: TargetState): void;
  /** False while the target has not been asked yet; true once it answered, or failed to in time. */
  hasWord(target: Target): boolean;
}

export default LoadSource;
