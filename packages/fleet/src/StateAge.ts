/**
 * Age of what this entry VM knows from the store.
 */
import type Clock from '@burdockcove/runtime/Clock';

/** Times are monotonic, in milliseconds. */
export default class StateAge {
  private confirmedAtMs = -Infinity;

  constructor(private readonly clock: Clock) {}

  /** Records that every change until the given time is known; a time before a recorded one has no effect. */
  recordConfirmed(atMs = this.clock.getMonotonicMs()): void {
    this.confirmedAtMs = Math.max(this.confirmedAtMs, atMs);
  }

  /** Returns the milliseconds since the last time until which every change is known; Infinity if there is none. */
  getAgeMs(): number {
    return this.clock.getMonotonicMs() - this.confirmedAtMs;
  }
}
