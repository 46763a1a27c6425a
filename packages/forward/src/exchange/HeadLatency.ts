/**
 * How long a target usually takes until the head of its answer.
 */
import type Clock from '@burdockcove/runtime/Clock';

const SILENCE_FACTOR = 4;
const MIN_SILENCE_MS = 300;
const MAX_SILENCE_MS = 3000;
/** Time in which a remembered peak fades to nothing. */
const PEAK_DECAY_MS = 20_000;

/** Keeps a fading peak; times are in milliseconds. */
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

  /** Time without any byte after which a connection is suspected to be silent. */
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
