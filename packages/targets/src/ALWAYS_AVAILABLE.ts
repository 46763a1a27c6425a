/**
 * Availability of targets whose protocol has no notices.
 */
import type TargetAvailability from './TargetAvailability.js';

/** Every target takes requests until its entry or label says otherwise. */
const ALWAYS_AVAILABLE: TargetAvailability = {
  recordNotice: () => undefined,
  isAvailable: () => true,
};

export default ALWAYS_AVAILABLE;
