/**
 * Counts events within a sliding window.
 */

const BUCKET_COUNT = 20;

/** Divides the window into buckets; an event is counted for up to one bucket's length after it left the window. */
export default class SlidingWindowCounter {
  private readonly counts = new Array<number>(BUCKET_COUNT + 1).fill(0);

  private currentBucket = -Infinity;

  constructor(private readonly windowMs: number) {}

  /** Counts one event at the monotonic time, in milliseconds. */
  add(nowMs: number): void {
    this.advance(nowMs);
    const index = this.currentBucket % this.counts.length;
    this.counts[index] = (this.counts[index] ?? 0) + 1;
  }

  /** Returns the number of events within the window that ends now. */
  count(nowMs: number): number {
    this.advance(nowMs);
    return this.counts.reduce((sum, count) => sum + count, 0);
  }

  /** Clears the buckets that have left the window. */
  private advance(nowMs: number): void {
    const bucket = Math.floor((nowMs * BUCKET_COUNT) / this.windowMs);
    const steps = Math.min(bucket - this.currentBucket, this.counts.length);
    for (let step = 0; step < steps; step += 1) {
      this.counts[(bucket - step) % this.counts.length] = 0;
    }
    this.currentBucket = Math.max(bucket, this.currentBucket);
  }
}
