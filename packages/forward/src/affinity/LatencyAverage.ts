/**
 * Exponentially weighted moving average of latencies.
 */

/** Weight of a new sample. */
const SMOOTHING_FACTOR = 0.05;

/** Latencies are in milliseconds. */
export default class LatencyAverage {
  private meanMs: number;

  constructor(initialMs: number) {
    this.meanMs = initialMs;
  }

  record(latencyMs: number): void {
    this.meanMs += SMOOTHING_FACTOR * (latencyMs - this.meanMs);
  }

  getMeanMs(): number {
    return this.meanMs;
  }
}
