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

/** The last report, and the target's word on draining. */
export default class ReportedLoad {
  private last: { readonly atMs: number; readonly othersInFlight: number } | null = null;

  private draining = false;

  private lastDrainingMs = 0;

  /** `atMs` is when the report was asked for; `ownInFlight` what this VM had in flight then. */
  recordReport(load: TargetLoad, atMs: number, ownInFlight: number): void {
    this.last = { atMs, othersInFlight: Math.max(0, load.inFlight - ownInFlight) };
    if (load.draining) {
      this.draining = true;
      this.lastDrainingMs = atMs;
    } else if (atMs - this.lastDrainingMs >= DRAINING_HOLD_MS) {
      this.draining = false;
    }
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
