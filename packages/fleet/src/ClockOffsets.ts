/**
 * The difference between the time of day and the monotonic time, now and lately.
 *
 * A suspension of this VM stops the monotonic clock only, so the difference grows by its length. What was asked before a
 * suspension and answered after it belongs to the difference from before.
 */
import type Clock from '@burdockcove/runtime/Clock';

/** Changes below this do not count: clocks are adjusted by small steps all the time. */
const MIN_CHANGE_MS = 20;
/** Bound on the kept changes; a question is answered or given up within a few seconds. */
const MAX_CHANGES = 64;

/** A difference and the monotonic time from which on it is known to apply, in milliseconds. */
interface Change {
  readonly atMs: number;
  readonly offsetMs: number;
}

/** Sees a change only when it is told to observe. */
export default class ClockOffsets {
  private readonly changes: Change[] = [];

  constructor(private readonly clock: Clock) {
    this.observe();
  }

  /** Records the difference if it has changed. */
  observe(): void {
    const atMs = this.clock.getMonotonicMs();
    const offsetMs = this.clock.getWallMs() - atMs;
    const last = this.changes.at(-1);
    if (last === undefined || Math.abs(offsetMs - last.offsetMs) >= MIN_CHANGE_MS) {
      this.changes.push({ atMs, offsetMs });
      this.changes.splice(0, this.changes.length - MAX_CHANGES);
    }
  }

  /**
   * Returns the difference at the monotonic time, in milliseconds; -Infinity if it is not known any more. A change seen
   * later may have happened before that time; the difference returned is then the earlier one.
   */
  getOffsetMs(atMs: number): number {
    return this.changes.findLast((change) => change.atMs <= atMs)?.offsetMs ?? -Infinity;
  }
}
