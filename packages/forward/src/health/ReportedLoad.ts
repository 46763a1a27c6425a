/**
 * What a target reports about its own load and draining, and the age of the report.
 */
import type TargetLoad from '@burdockcove/targets/TargetLoad';

/** A report older than this is ignored: the load is then unknown, not zero. */
const MAX_AGE_MS = 5_000;
/** A target that reported draining must report the contrary for this long before it gets requests again. */
const DRAINING_HOLD_MS = 5_000;
/** Reports count for at most this share of the target's slots, since they may be outdated or wrong. */
const MAX_OTHERS_SHARE = 0.5;
/** Consecutive failed polls after which a target is used only as a last resort. */
const UNRESPONSIVE_FAILED_POLLS = 2;

type DrainingChange = 'none' | 'began' | 'ended';

/** Keeps the last report, and whether the target drains. */
export default class ReportedLoad {
  private last: { readonly atMs: number; readonly othersInFlight: number } | null = null;

  private draining = false;

  private lastDrainingAtMs = 0;

  private healthyAtMs = -Infinity;

  private failedPolls = 0;

  /**
   * Records a report that was requested at `atMs`, when this VM had `ownInFlight` requests in flight at the target.
   * Returns whether draining began or ended with it.
   */
  recordReport(load: TargetLoad, atMs: number, ownInFlight: number): DrainingChange {
    const wasDraining = this.draining;
    this.failedPolls = 0;
    this.last = { atMs, othersInFlight: Math.max(0, load.inFlight - ownInFlight) };
    if (load.draining) {
      this.draining = true;
      this.lastDrainingAtMs = atMs;
    } else if (atMs - this.lastDrainingAtMs >= DRAINING_HOLD_MS) {
      this.draining = false;
    }
    if (this.draining === wasDraining) {
      return 'none';
    }
    return this.draining ? 'began' : 'ended';
  }

  /** Records that the target did not answer a poll; its last report is kept and continues to age. */
  recordPollFailure(): void {
    this.failedPolls += 1;
  }

  recordHealthy(atMs: number): void {
    this.healthyAtMs = atMs;
  }

  /** Returns the monotonic time in milliseconds of the target's last healthy report; -Infinity without one. */
  getHealthyAtMs(): number {
    return this.healthyAtMs;
  }

  /** Whether the target fails to answer polls; what this VM observes itself takes precedence. */
  isUnresponsive(): boolean {
    return this.failedPolls >= UNRESPONSIVE_FAILED_POLLS;
  }

  /** Whether the target has reported draining and not denied it for the hold time; failed polls do not change this. */
  isDraining(): boolean {
    return this.draining;
  }

  /** Returns the milliseconds since the last report; Infinity without one. */
  getAgeMs(nowMs: number): number {
    return this.last === null ? Infinity : nowMs - this.last.atMs;
  }

  /** Returns the share of slots that others use, 0 to 0.5, decreasing with the report's age; 0 without a report. */
  estimateOthersShare(nowMs: number, slots: number): number {
    if (this.last === null) {
      return 0;
    }
    const freshness = Math.max(0, 1 - this.getAgeMs(nowMs) / MAX_AGE_MS);
    return freshness * Math.min(MAX_OTHERS_SHARE, this.last.othersInFlight / Math.max(1, slots));
  }
}
