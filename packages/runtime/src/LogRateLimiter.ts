/**
 * Rate limit on log lines by kind, with a count of omitted lines.
 */
import type Clock from './Clock.js';

const MS_PER_SECOND = 1000;

interface Bucket {
  tokens: number;
  refilledAtMs: number;
  leftOut: number;
}

/** One token bucket per kind, which allows short bursts. */
export default class LogRateLimiter {
  private readonly buckets = new Map<string, Bucket>();

  constructor(
    private readonly clock: Clock,
    private readonly linesPerS: number,
    private readonly burst: number,
  ) {}

  /** Acquires one line: returns null if it must be omitted, else the number of omitted lines of its kind since the last one. */
  tryAcquireLine(kind: string): number | null {
    const nowMs = this.clock.getMonotonicMs();
    const bucket = this.buckets.get(kind) ?? {
      tokens: this.burst,
      refilledAtMs: nowMs,
      leftOut: 0,
    };
    this.buckets.set(kind, bucket);
    const refilled = ((nowMs - bucket.refilledAtMs) * this.linesPerS) / MS_PER_SECOND;
    bucket.tokens = Math.min(this.burst, bucket.tokens + refilled);
    bucket.refilledAtMs = nowMs;
    if (bucket.tokens < 1) {
      bucket.leftOut += 1;
      return null;
    }
    bucket.tokens -= 1;
    const { leftOut } = bucket;
    bucket.leftOut = 0;
    return leftOut;
  }
}
