/**
 * Age of what this entry VM knows from the store.
 *
 * A watch may have waited long before its response arrived, so a response says more about the present than the moment at
 * which the store was asked. Two times are kept: `confirmed` for estimates, and `verified`, which is a bound that holds
 * however long a response or this VM was held up.
 */
import type Clock from '@burdockcove/runtime/Clock';
import ClockOffsets from './ClockOffsets.js';

/** Times are in milliseconds; `atMs` are monotonic. */
export default class StateAge {
  private confirmedAtMs = -Infinity;

  private verifiedAtMs = -Infinity;

  /** Time of day that belongs to `verifiedAtMs`. */
  private verifiedAtWallMs = -Infinity;

  private readonly offsets: ClockOffsets;

  constructor(private readonly clock: Clock) {
    this.offsets = new ClockOffsets(clock);
  }

  /** Records that every change until the given time is known; a time before a recorded one has no effect. */
  recordConfirmed(atMs = this.clock.getMonotonicMs()): void {
    this.confirmedAtMs = Math.max(this.confirmedAtMs, atMs);
  }

  /**
   * Records that a response to a question asked at the given time holds every change until that time. If this VM was
   * suspended between the two, the time of the suspension counts.
   */
  recordVerified(askedAtMs: number): void {
    this.offsets.observe();
    if (askedAtMs > this.verifiedAtMs) {
      this.verifiedAtMs = askedAtMs;
      this.verifiedAtWallMs = askedAtMs + this.offsets.getOffsetMs(askedAtMs);
    }
  }

  /** Returns the time since the last moment until which every change is known; Infinity if there is none. */
  getAgeMs(): number {
    return this.clock.getMonotonicMs() - this.confirmedAtMs;
  }

  /**
   * Returns an upper bound of the age. The monotonic clock stands still while a VM is suspended, the time of day does
   * not; where the time of day has jumped ahead, the bound is too large until the next response.
   */
  getVerifiedAgeMs(): number {
    this.offsets.observe();
    return Math.max(
      this.clock.getMonotonicMs() - this.verifiedAtMs,
      this.clock.getWallMs() - this.verifiedAtWallMs,
    );
  }
}
