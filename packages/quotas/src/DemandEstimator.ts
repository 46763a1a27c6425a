/**
 * Rate of one customer's requests at this VM.
 */

/** Time over which arrivals are averaged, in milliseconds. */
const AVERAGING_MS = 1000;
const MS_PER_SECOND = 1000;

/** An exponentially weighted average; times are monotonic. */
export default class DemandEstimator {
  /** Requests in the averaging time. */
  private weight = 0;

  private recordedAtMs = 0;

  recordArrival(nowMs: number): void {
    this.weight = this.decay(nowMs) + 1;
    this.recordedAtMs = nowMs;
  }

  /** Returns requests a second. */
  getRatePerS(nowMs: number): number {
    return this.decay(nowMs) * (MS_PER_SECOND / AVERAGING_MS);
  }

  private decay(nowMs: number): number {
    return this.weight * Math.exp((this.recordedAtMs - nowMs) / AVERAGING_MS);
  }
}
