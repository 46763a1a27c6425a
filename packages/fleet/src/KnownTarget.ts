/**
 * A target as this entry VM believes it to be.
 */
import type TargetRecord from './TargetRecord.js';

/** Times are monotonic, in milliseconds. */
interface KnownTarget extends TargetRecord {
  /** Until then the target takes only a few requests a second; in the past once it is warm. */
  readonly coldUntilMs: number;
  /** Set where the entry lapsed around a store outage: the target is gone unless it is back by then. */
  readonly expiresAtMs: number | null;
}

export default KnownTarget;
