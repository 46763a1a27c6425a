/**
 * The time after a return of the store from a snapshot in which others write again what was lost.
 */
import type Clock from '@burdockcove/runtime/Clock';

/** Time in which operators and targets write their entries again, in milliseconds. */
const CATCH_UP_MS = 6000;

/** Times are monotonic, in milliseconds. */
export default class CatchUp {
  private endsAtMs = Infinity;

  constructor(private readonly clock: Clock) {}

  /** Starts the time, again if it is running. */
  start(): void {
    this.endsAtMs = this.clock.getMonotonicMs() + CATCH_UP_MS;
  }

  isRunning(): boolean {
    return this.endsAtMs !== Infinity;
  }

  /** Ends the time if it has passed; returns true once for each. */
  finish(): boolean {
    const isOver = this.clock.getMonotonicMs() >= this.endsAtMs;
    if (isOver) {
      this.endsAtMs = Infinity;
    }
    return isOver;
  }
}
