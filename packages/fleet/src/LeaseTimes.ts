/**
 * What this entry VM knows of its own registration: until when its lease is surely valid, and since when it has been
 * registered without a gap.
 *
 * A lease is valid at least for its time to live from the moment at which its renewal was requested, whenever the
 * response came.
 */
import type Clock from '@burdockcove/runtime/Clock';

const MS_PER_SECOND = 1000;

/** Times are in milliseconds; all but those of the time of day are monotonic. */
export default class LeaseTimes {
  private validUntilMs = -Infinity;

  /** Time of day that belongs to `validUntilMs`. */
  private validUntilWallMs = -Infinity;

  private registeredSinceMs = Infinity;

  constructor(private readonly clock: Clock) {}

  /** Records a successful renewal that was requested at the time and left so many seconds to live. */
  recordRenewal(requestedAtMs: number, ttlSeconds: number): void {
    this.validUntilMs = requestedAtMs + ttlSeconds * MS_PER_SECOND;
    this.validUntilWallMs =
      this.clock.getWallMs() + this.validUntilMs - this.clock.getMonotonicMs();
  }

  /**
   * Records that the registration has been written. `continuedFromMs` is the time of day since which it had been there
   * until then, Infinity if it was not.
   */
  recordRegistration(continuedFromMs: number): void {
    if (this.registeredSinceMs === Infinity) {
      const continuedMs = Math.max(0, this.clock.getWallMs() - continuedFromMs);
      this.registeredSinceMs = this.clock.getMonotonicMs() - continuedMs;
    }
  }

  /** Records that there is no registration, or may be none. */
  recordLoss(): void {
    this.validUntilMs = -Infinity;
    this.validUntilWallMs = -Infinity;
    this.registeredSinceMs = Infinity;
  }

  /**
   * Returns the time until which the lease is surely valid; -Infinity without one. The monotonic clock stands still
   * while a VM is suspended, the time of day does not: the earlier of both ends counts.
   */
  getValidUntilMs(): number {
    const leftOfDayMs = this.validUntilWallMs - this.clock.getWallMs();
    return Math.min(this.validUntilMs, this.clock.getMonotonicMs() + leftOfDayMs);
  }

  /** Returns the time since which this VM has been registered, perhaps by an earlier process; Infinity if it is not. */
  getRegisteredSinceMs(): number {
    return this.registeredSinceMs;
  }
}
