/**
 * Slots whose requests may still be running.
 */
import type Clock from '@burdockcove/runtime/Clock';
import type SlotPermit from '@burdockcove/types/SlotPermit';
import PERMIT_MARGIN_MS from './PERMIT_MARGIN_MS.js';

/** Gives slots back when their requests have certainly ended. */
export default class PermitReleaser {
  private held = 0;

  constructor(private readonly clock: Clock) {}

  /** Slots kept now after an exchange that did not end cleanly. */
  countHeld(): number {
    return this.held;
  }

  /** Releases at once after a clean end, else at the deadline (monotonic, milliseconds) plus a margin. */
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
