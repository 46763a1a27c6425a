/**
 * Release of the slots that requests occupied.
 */
import type Clock from '@burdockcove/runtime/Clock';
import type SlotPermit from '@burdockcove/types/SlotPermit';
import PERMIT_MARGIN_MS from './PERMIT_MARGIN_MS.js';

/** Releases slots once their requests cannot be running any more. */
export default class PermitReleaser {
  private held = 0;

  constructor(private readonly clock: Clock) {}

  /** Returns the number of slots held after exchanges that did not end cleanly. */
  countHeld(): number {
    return this.held;
  }

  /** Releases the permit at once after a clean end, else a margin after the deadline (monotonic, milliseconds). */
  releasePermit(permit: SlotPermit, clean: boolean, deadlineAtMs: number): void {
    if (clean) {
      permit.release();
      return;
    }
    this.held += 1;
    const delayMs = Math.max(0, deadlineAtMs - this.clock.getMonotonicMs()) + PERMIT_MARGIN_MS;
    this.clock.startTimer(delayMs, () => {
      this.held -= 1;
      permit.release();
    });
  }
}
