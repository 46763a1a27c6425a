/**
 * A target that was not compared, and why.
 */
import type ExclusionReason from './ExclusionReason.js';

interface RuledOutTarget {
  readonly target: string;
  readonly region: string;
  readonly reason: ExclusionReason;
}

export default RuledOutTarget;
