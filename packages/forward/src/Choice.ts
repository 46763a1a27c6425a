/**
 * A target chosen for one attempt.
 */
import type SlotPermit from '@burdockcove/types/SlotPermit';
import type Target from '@burdockcove/types/Target';
import type AttemptResult from './AttemptResult.js';
import type ChoiceBasis from './ChoiceBasis.js';

/** Holds the target's slot. The exchange reports its result once, when it has ended. */
interface Choice {
  readonly target: Target;
  readonly region: string;
  readonly permit: SlotPermit;
  /** Why this target was chosen; absent if the chooser gives no reasons. */
  readonly basis?: ChoiceBasis;
  /**
   * Records the result of the attempt. Does not release the permit: after an unclean end the slot stays held until the
   * deadline.
   */
  reportResult(result: AttemptResult): void;
}

export default Choice;
