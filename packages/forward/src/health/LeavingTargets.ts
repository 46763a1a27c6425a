/**
 * Which targets get no new requests because the configuration or the VM list says that they leave.
 */
import type Target from '@burdockcove/types/Target';

/** Checked before every attempt, since a queued request may hold an outdated plan. */
interface LeavingTargets {
  /** Whether a label or the VM list marks the target as leaving, or the configuration no longer contains it. */
  isLeaving(target: Target): boolean;
}

export default LeavingTargets;
