/**
 * Token bucket that starts empty.
 */

const MS_PER_SECOND = 1000;

/** Times are monotonic, in milliseconds; tokens are requests. */
export default class TokenBucket {
  private tokens = 0;

  private ratePerS = 0;

  private capacity = 0;

  constructor(private filledAtMs: number) {}

  /** Applies limits from now on; tokens above the capacity are dropped. */
  setLimits(ratePerS: number, capacity: number, nowMs: number): void {
    this.fill(nowMs);
    this.ratePerS = ratePerS;
    this.capacity = capacity;
    this.tokens = Math.min(this.tokens, capacity);
  }

  /** Takes whole tokens, at most the wanted number; returns how many. */
  take(wanted: number, nowMs: number): number {
    this.fill(nowMs);
    const taken = Math.min(wanted, Math.floor(this.tokens));
    this.tokens -= taken;
    return taken;
  }

  /** Returns the milliseconds until there is a whole token. */
  computeWaitMs(): number {
    return this.tokens >= 1 ? 0 : ((1 - this.tokens) / this.ratePerS) * MS_PER_SECOND;
  }

  private fill(nowMs: number): void {
    const elapsedS = Math.max(0, nowMs - this.filledAtMs) / MS_PER_SECOND;
    this.tokens = Math.min(this.capacity, this.tokens + elapsedS * this.ratePerS);
    this.filledAtMs = Math.max(this.filledAtMs, nowMs);
  }
}
