/**
 * Age of what this entry VM knows from the store.
 */
import type Clock from '@burdockcove/runtime/Clock';

/** Times are monotonic, in milliseconds. */
export default class StateAge {
  private confirmedAtMs = -Infinity;

  constructor(private readonly clock: Clock) {}

  /** Records that the store has reported every change until now. */
  recordConfirmed(): void {
    this.confirmedAtMs = this.clock.getMonotonicMs();
  }

  /** Returns the milliseconds since the last response of the store; Infinity before the first one. */
  getAgeMs(): number {
    return this.clock.getMonotonicMs() - this.confirmedAtMs;
  }
}
