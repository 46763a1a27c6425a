/**
 * How long the targets of one service usually take.
 */

const GAIN = 0.05;

/** An exponentially weighted mean, in milliseconds. */
export default class PoolLatency {
  private meanMs: number;

  constructor(firstGuessMs: number) {
    this.meanMs = firstGuessMs;
  }

  record(latencyMs: number): void {
    this.meanMs += GAIN * (latencyMs - this.meanMs);
  }

  getMeanMs(): number {
    return this.meanMs;
  }
}
