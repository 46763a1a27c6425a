/**
 * How long a target usually takes until the head of its answer.
 */
import type Clock from '@burdockcove/runtime/Clock';

const SILENCE_FACTOR = 4;
const MIN_SILENCE_MS = 300;
const MAX_SILENCE_MS = 3000;
/** Time in which a remembered peak loses half of its weight. */
const HALF_LIFE_MS = 10_000;

/** Keeps a decaying peak; times are in milliseconds. */
export default class HeadLatency {
  private peakMs = 0;

  private recordedAtMs = -Infinity;

  constructor(private readonly clock: Clock) {}

  record(latencyMs: number): void {
    this.peakMs = Math.max(latencyMs, this.getPeakMs());
    this.recordedAtMs = this.clock.getMonotonicMs();
  }

  /** Time without any byte after which a connection is suspected to be silent. */
  getSilenceLimitMs(): number {
    if (this.recordedAtMs === -Infinity) {
      return MAX_SILENCE_MS;
    }
    const limitMs = SILENCE_FACTOR * this.getPeakMs();
    return Math.min(MAX_SILENCE_MS, Math.max(MIN_SILENCE_MS, limitMs));
  }

  private getPeakMs(): number {
    const ageMs = this.clock.getMonotonicMs() - this.recordedAtMs;
    return this.peakMs * 0.5 ** (ageMs / HALF_LIFE_MS);
  }
}
