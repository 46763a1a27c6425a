/**
 * One process in virtual time: a clock of its own that can run fast or slow, a pause, an end.
 */
import type Clock from '@burdockcove/runtime/Clock';
import type Random from '@burdockcove/runtime/Random';
import type Timer from '@burdockcove/runtime/Timer';
import type VirtualTime from './VirtualTime.js';

/** While paused, time goes on but nothing runs; what came due then runs on waking, in any order. */
export default class VirtualProcess implements Clock {
  private state: 'running' | 'paused' | 'ended' = 'running';

  private readonly pending: (() => void)[] = [];

  constructor(
    private readonly time: VirtualTime,
    private readonly random: Random,
    /** Milliseconds of this clock that pass in one millisecond. */
    private readonly rate: number,
  ) {}

  getMonotonicMs(): number {
    return this.time.getNowMs() * this.rate;
  }

  getWallMs(): number {
    return this.getMonotonicMs();
  }

  startTimer(delayMs: number, run: () => void): Timer {
    return this.time.schedule(delayMs / this.rate, () => this.deliver(run));
  }

  /** Runs the function now, on waking, or never. */
  deliver(run: () => void): void {
    if (this.state === 'paused') {
      this.pending.push(run);
    } else if (this.state === 'running') {
      run();
    }
  }

  isRunning(): boolean {
    return this.state === 'running';
  }

  isEnded(): boolean {
    return this.state === 'ended';
  }

  pause(): void {
    this.state = this.state === 'running' ? 'paused' : this.state;
  }

  resume(): void {
    if (this.state !== 'paused') {
      return;
    }
    this.state = 'running';
    while (this.pending.length > 0) {
      const [run] = this.pending.splice(this.random.nextInt(this.pending.length), 1);
      run?.();
    }
  }

  end(): void {
    this.state = 'ended';
    this.pending.length = 0;
  }
}
