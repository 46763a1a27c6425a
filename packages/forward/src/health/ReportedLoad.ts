/**
 * What a target says of its own load, with its age.
 */
import type TargetLoad from '@burdockcove/targets/TargetLoad';

/** A report older than this is no hint any more: the load is unknown, not zero. */
const MAX_AGE_MS = 5_000;
/** A target that said it drains must say the contrary for this long before it gets work again. */
const DRAINING_HOLD_MS = 5_000;
/** Reports weigh at most this share of the target's slots, since they may lag or mislead. */
const MAX_WEIGHT = 0.5;
/** Polls failed in a row after which a target is one of last resort. */
const FAILURES_IN_ROW = 2;

type DrainingChange = 'none' | 'began' | 'ended';

/** The last report, and the target's word on draining. */
export default class ReportedLoad {
  private last: { readonly atMs: number; readonly othersInFlight: number } | null = null;

  private draining = false;

  private lastDrainingMs = 0;

  private healthyAtMs = -Infinity;

  private failedPolls = 0;

  /**
   * `atMs` is when the report was asked for; `ownInFlight` what this VM had in flight then. Returns what
   * changed in the target's word on draining.
   */
  recordReport(load: TargetLoad, atMs: number, ownInFlight: number): DrainingChange {
    const wasDraining = this.draining;
    this.failedPolls = 0;
    this.last = { atMs, othersInFlight: Math.max(0, load.inFlight - ownInFlight) };
    if (load.draining) {
      this.draining = true;
      this.lastDrainingMs = atMs;
    } else if (atMs - this.lastDrainingMs >= DRAINING_HOLD_MS) {
      this.draining = false;
    }
    if (this.draining === wasDraining) {
      return 'none';
    }
    return this.draining ? 'began' : 'ended';
  }

  /** Records that the target did not answer a poll; its last report goes on ageing. */
  recordPollFailure(): void {
    this.failedPolls += 1;
  }

  recordHealthy(atMs: number): void {
    this.healthyAtMs = atMs;
  }

  /** Monotonic time in milliseconds when the target last said that it is healthy. */
  getHealthyAtMs(): number {
    return this.healthyAtMs;
  }

  /** True where the target fails to answer polls: a hint, which own evidence outranks. */
  isSilent(): boolean {
    return this.failedPolls >= FAILURES_IN_ROW;
  }

  /** True from the target's first word until it has denied it for the hold time; silence changes nothing. */
  isDraining(): boolean {
    return this.draining;
  }

  /** Milliseconds since the last report; infinite where there was none. */
  getAgeMs(nowMs: number): number {
    return this.last === null ? Infinity : nowMs - this.last.atMs;
  }

  /** Share of the target's slots that others use, 0 to 0.5, fading with age; zero adds nothing to own evidence. */
  estimateOthersShare(nowMs: number, slots: number): number {
    if (this.last === null) {
      return 0;
    }
    const freshness = Math.max(0, 1 - this.getAgeMs(nowMs) / MAX_AGE_MS);
    return freshness * Math.min(MAX_WEIGHT, this.last.othersInFlight / Math.max(1, slots));
  }
}
