/**
 * Which targets take no new work on the word of others.
 */
import type Target from '@burdockcove/types/Target';

/** Asked again at every attempt, since a request may have waited with an older plan. */
interface LeavingTargets {
  /** True where a label, the VM list or the configuration's lack of the target takes new work away from it. */
  isLeaving(target: Target): boolean;
}

export default LeavingTargets;
