/**
 * A bound on log lines a second by kind, with a count of what was left out.
 */
import type Clock from './Clock.js';

const MS_PER_SECOND = 1000;

interface Bucket {
  tokens: number;
  refilledAtMs: number;
  leftOut: number;
}

/** Token buckets, one a kind; a kind may write a short burst. */
export default class LogRateLimiter {
  private readonly buckets = new Map<string, Bucket>();

  constructor(
    private readonly clock: Clock,
    private readonly linesPerS: number,
    private readonly burst: number,
  ) {}

  /** Takes one line; none where it must be left out, else how many of its kind were left out since the last. */
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
