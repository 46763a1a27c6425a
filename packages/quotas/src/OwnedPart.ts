/**
 * A part that this VM owns, or still serves after a new member has come to rank first for it.
 *
 * The new member waits from its registration on until all others know of it. When this VM last knew for certain that it
 * ranked first itself, no member that ranks higher was registered, so none begins before that wait has passed from then
 * on. Until shortly before, this VM goes on, and the part is not without an owner.
 */
import type TokenBucket from './TokenBucket.js';

/** Covers clocks that run at different rates. */
const MARGIN_MS = 300;

/** Times are monotonic, in milliseconds. */
export default class OwnedPart {
  /** Time at which this VM surely ranked first. */
  private firstAtMs = -Infinity;

  /** End of the service for a new owner; Infinity while this VM ranks first. */
  private endsAtMs = Infinity;

  constructor(
    readonly customer: string,
    readonly part: number,
    readonly bucket: TokenBucket,
  ) {}

  /**
   * Records that this VM ranked first in the whole membership as of the time. The time must not be taken while changes
   * are being applied, since it may be ahead of them then.
   */
  recordFirst(verifiedAtMs: number): void {
    this.firstAtMs = Math.max(this.firstAtMs, verifiedAtMs);
  }

  /**
   * Returns whether this VM may go on granting; must be called at each change of the membership. `settledAtMs` is the
   * time after which every new registration waits, `joiningMs` for how long.
   */
  canContinue(isFirst: boolean, nowMs: number, settledAtMs: number, joiningMs: number): boolean {
    if (isFirst) {
      const isInTime = nowMs < this.endsAtMs;
      this.endsAtMs = isInTime ? Infinity : this.endsAtMs;
      return isInTime;
    }
    this.endsAtMs = Math.min(this.endsAtMs, this.firstAtMs + joiningMs - MARGIN_MS);
    return nowMs < this.endsAtMs && this.firstAtMs >= settledAtMs;
  }
}
