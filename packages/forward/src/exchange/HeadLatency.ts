/**
 * Peak latency until the head of a target's responses.
 */
import type Clock from '@burdockcove/runtime/Clock';

const SILENCE_FACTOR = 4;
const MIN_SILENCE_MS = 300;
const MAX_SILENCE_MS = 3000;
/** Time in which a recorded peak decays to zero. */
const PEAK_DECAY_MS = 20_000;

/** Records a peak that decays linearly; times are in milliseconds. */
export default class HeadLatency {
  private peakMs = 0;

  private recordedAtMs = -Infinity;

  constructor(private readonly clock: Clock) {}

  record(latencyMs: number): void {
    const nowMs = this.clock.getMonotonicMs();
    if (latencyMs >= this.getPeakMs(nowMs)) {
      this.peakMs = latencyMs;
      this.recordedAtMs = nowMs;
    }
  }

  /** Returns the time without any byte after which a connection counts as silent. */
  getSilenceLimitMs(): number {
    if (this.recordedAtMs === -Infinity) {
      return MAX_SILENCE_MS;
    }
    const limitMs = SILENCE_FACTOR * this.getPeakMs(this.clock.getMonotonicMs());
    return Math.min(MAX_SILENCE_MS, Math.max(MIN_SILENCE_MS, limitMs));
  }

  private getPeakMs(nowMs: number): number {
    return this.peakMs * Math.max(0, 1 - (nowMs - this.recordedAtMs) / PEAK_DECAY_MS);
  }
}
