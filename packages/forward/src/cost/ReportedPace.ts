/**
 * The pace of a target's machine by its last report.
 */

/** A machine's pace changes many times a second; a report this old says nothing. */
const DECAY_MS = 1000;
/** Limits on a reported ratio, which may be wrong. */
const MIN_RATIO = 0.25;
const MAX_RATIO = 8;

/** Ratios are times that work takes relative to the usual time; times are monotonic, in milliseconds. */
export default class ReportedPace {
  private ratio = 1;

  private reportedAtMs = -Infinity;

  record(ratio: number, nowMs: number): void {
    this.ratio = Math.min(MAX_RATIO, Math.max(MIN_RATIO, ratio));
    this.reportedAtMs = nowMs;
  }

  /** Returns the ratio assumed now: the reported one, which fades to 1. */
  estimateRatio(nowMs: number): number {
    const weight = Math.max(0, 1 - (nowMs - this.reportedAtMs) / DECAY_MS);
    return 1 + weight * (this.ratio - 1);
  }
}
