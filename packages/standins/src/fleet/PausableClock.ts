/**
 * A clock whose timers can be held back, as those of a paused process.
 */
import type Clock from '@burdockcove/runtime/Clock';
import type Timer from '@burdockcove/runtime/Timer';

/** Time goes on while paused; timers that came due run on resuming. */
export default class PausableClock implements Clock {
  private paused = false;

  private held: (() => void)[] = [];

  constructor(private readonly clock: Clock) {}

  getMonotonicMs(): number {
    return this.clock.getMonotonicMs();
  }

  getWallMs(): number {
    return this.clock.getWallMs();
  }

  startTimer(delayMs: number, run: () => void): Timer {
    let cancelled = false;
    const runUnlessCancelled = (): void => {
      if (!cancelled) {
        run();
      }
    };
    const timer = this.clock.startTimer(delayMs, () => {
      if (this.paused) {
        this.held.push(runUnlessCancelled);
      } else {
        runUnlessCancelled();
      }
    });
    const cancel = (): void => {
      cancelled = true;
      timer.cancel();
    };
    return { cancel };
  }

  pause(): void {
    this.paused = true;
  }

  resume(): void {
    this.paused = false;
    const due = this.held;
    this.held = [];
    due.forEach((run) => run());
  }

  isPaused(): boolean {
    return this.paused;
  }
}
