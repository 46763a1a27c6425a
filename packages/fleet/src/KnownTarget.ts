/**
 * A target as known to this entry VM.
 */
import type TargetRecord from './TargetRecord.js';

/** Times are monotonic, in milliseconds. */
interface KnownTarget extends TargetRecord {
  /** Until this time the target handles only a few requests a second; lies in the past once the target is warm. */
  readonly coldUntilMs: number;
  /** Set if the entry expired around a store outage: the target is removed at this time unless it has registered again. */
  readonly expiresAtMs: number | null;
}

export default KnownTarget;
