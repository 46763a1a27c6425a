/**
 * A timer for what others have to do in time, which does not fire right after this process has stood still.
 *
 * After a stall, timers run before the sockets are read. The answer may have been there for long.
 */
import type Clock from '@burdockcove/runtime/Clock';
import type Timer from '@burdockcove/runtime/Timer';

/** A timer that is later than this is taken for the end of a stall. */
const MAX_LATENESS_MS = 10;
/** Time to read what has arrived during a stall. */
const GRACE_MS = 20;

/** Fires once. */
export default class PatientTimer implements Timer {
  private timer: Timer;

  constructor(
    private readonly clock: Clock,
    delayMs: number,
    run: () => void,
  ) {
    const dueMs = clock.getMonotonicMs() + delayMs;
    this.timer = clock.startTimer(delayMs, () => {
      if (this.clock.getMonotonicMs() > dueMs + MAX_LATENESS_MS) {
        this.timer = this.clock.startTimer(GRACE_MS, run);
      } else {
        run();
      }
    });
  }

  cancel(): void {
    this.timer.cancel();
  }
}
