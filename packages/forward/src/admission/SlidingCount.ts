/**
 * A count of events within a sliding window.
 */

const PARTS = 20;

/** Counts in parts of the window; an event is forgotten up to one part after it left the window. */
export default class SlidingCount {
  private readonly counts = new Array<number>(PARTS + 1).fill(0);

  private current = -Infinity;

  constructor(private readonly windowMs: number) {}

  /** Counts one event at the monotonic time, in milliseconds. */
  add(nowMs: number): void {
    this.turn(nowMs);
    const index = this.current % this.counts.length;
    this.counts[index] = (this.counts[index] ?? 0) + 1;
  }

  /** Events within the window that ends now. */
  count(nowMs: number): number {
    this.turn(nowMs);
    return this.counts.reduce((sum, part) => sum + part, 0);
  }

  private turn(nowMs: number): void {
    const part = Math.floor((nowMs * PARTS) / this.windowMs);
    const steps = Math.min(part - this.current, this.counts.length);
    for (let step = 0; step < steps; step += 1) {
      this.counts[(part - step) % this.counts.length] = 0;
    }
    this.current = Math.max(part, this.current);
  }
}
