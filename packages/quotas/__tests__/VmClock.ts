/**
 * The clock of one VM, which can be frozen with everything that runs there.
 */
import type Clock from '@burdockcove/runtime/Clock';
import type Timer from '@burdockcove/runtime/Timer';
import type VirtualTime from './VirtualTime.js';

/** A suspended VM's monotonic clock stands still; a stopped process's does not. */
export default class VmClock implements Clock {
  private held: (() => void)[] | null = null;

  private frozenAtMs = 0;

  private suspendedMs = 0;

  private isDead = false;

  constructor(private readonly time: VirtualTime) {}

  getMonotonicMs(): number {
    return this.time.nowMs - this.suspendedMs;
  }

  getWallMs(): number {
    return this.time.nowMs;
  }

  startTimer(delayMs: number, run: () => void): Timer {
    return this.time.startTimer(delayMs, () => this.run(run));
  }

  /** Runs something on this VM: at once, when it resumes, or never if it is dead. */
  run(action: () => void): void {
    if (this.held !== null) {
      this.held.push(action);
    } else if (!this.isDead) {
      action();
    }
  }

  kill(): void {
    this.isDead = true;
  }

  freeze(): void {
    this.held = [];
    this.frozenAtMs = this.time.nowMs;
  }

  resume(isSuspended: boolean): void {
    const held = this.held ?? [];
    this.held = null;
    this.suspendedMs += isSuspended ? this.time.nowMs - this.frozenAtMs : 0;
    held.forEach((action) => this.run(action));
  }
}
