/**
 * What targets say of themselves, and whether they take requests.
 */
import type Target from '@burdockcove/types/Target';
import type TargetNotice from './TargetNotice.js';

/** Implemented by what keeps the state of targets. */
interface TargetAvailability {
  /** Called as soon as the head of a response has arrived. */
  recordNotice(target: Target, notice: TargetNotice): void;
  /** Whether a request that was chosen for the target earlier may still be sent to it. */
  isAvailable(target: Target): boolean;
}

export default TargetAvailability;
