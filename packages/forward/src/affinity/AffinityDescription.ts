/**
 * Where a request would go now, and why.
 */
import type DescribedCandidate from './DescribedCandidate.js';
import type ExclusionReason from './ExclusionReason.js';
import type RuledOutTarget from './RuledOutTarget.js';

/** Limited in size: what is not listed is counted. */
interface AffinityDescription {
  /**
   * `sent` to the target at once; `queued` or refused as `region-full`, as the queue has room, if all are busy; refused
   * as `not-in-time` if none is expected to respond before the timeout (a small share passes as probes), and as
   * `no-target` if none may take the request.
   */
  readonly outcome: 'sent' | 'queued' | 'not-in-time' | 'no-target';
  readonly target?: string;
  /** Whether the estimates come from learned work. */
  readonly isLearned: boolean;
  /** Whether the order of preference is one of many, since the object is not known. */
  readonly isOrderRandom: boolean;
  /** The compared targets, best first. */
  readonly candidates: readonly DescribedCandidate[];
  /** Number of the compared targets that are not listed, by reason; `available` are those that may take the request. */
  readonly otherCandidates: Readonly<Partial<Record<ExclusionReason | 'available', number>>>;
  /** Number of targets that may take the request, but come later in the order of preference than those compared. */
  readonly notCompared: number;
  readonly ruledOut: readonly RuledOutTarget[];
  /** Number of the ruled out targets that are not listed, by reason. */
  readonly otherRuledOut: Readonly<Partial<Record<ExclusionReason, number>>>;
}

export default AffinityDescription;
