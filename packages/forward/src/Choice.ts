/**
 * A target chosen for one attempt.
 */
import type SlotPermit from '@burdockcove/types/SlotPermit';
import type Target from '@burdockcove/types/Target';
import type AttemptResult from './AttemptResult.js';
import type ChoiceBasis from './ChoiceBasis.js';

/** Holds the slot; the exchange reports once, when it has ended. */
interface Choice {
  readonly target: Target;
  readonly region: string;
  readonly permit: SlotPermit;
  /** What decided; absent where the chooser does not tell. */
  readonly basis?: ChoiceBasis;
  /** Records the evidence. The permit is released apart, since an unclean end keeps it until the deadline. */
  reportResult(result: AttemptResult): void;
}

export default Choice;
