/**
 * Estimates quantiles from recent latencies.
 */
import { none, some, type Option } from 'fp-ts/lib/Option.js';

const MAX_SAMPLES = 48;
/** Older samples no longer reflect the current latency. */
const MAX_AGE_MS = 10_000;
/** Fewer samples give no estimate. */
const MIN_SAMPLES = 3;
/** The sorted samples are reused for this long after new samples, since sorting on each sample is too expensive. */
const SORT_INTERVAL_MS = 5;

/** Keeps the last samples and ignores old ones, so that the estimate becomes unknown when no new samples arrive. */
export default class LatencyWindow {
  private samples: { readonly atMs: number; readonly latencyMs: number }[] = [];

  private sorted: readonly number[] = [];

  private sortedUntilMs = 0;

  private nextIndex = 0;

  record(nowMs: number, latencyMs: number): void {
    this.samples[this.nextIndex] = { atMs: nowMs, latencyMs };
    this.nextIndex = (this.nextIndex + 1) % MAX_SAMPLES;
    const hasTooFew = this.sorted.length < MIN_SAMPLES;
    this.sortedUntilMs = hasTooFew ? 0 : Math.min(this.sortedUntilMs, nowMs + SORT_INTERVAL_MS);
  }

  /** Returns the latency quantile (0 to 1) of recent samples in milliseconds; none where there are too few samples. */
  estimateQuantile(nowMs: number, quantile: number): Option<number> {
    if (nowMs >= this.sortedUntilMs) {
      this.sortSamples(nowMs);
    }
    if (this.sorted.length < MIN_SAMPLES) {
      return none;
    }
    const index = Math.min(this.sorted.length - 1, Math.floor(quantile * this.sorted.length));
    return some(this.sorted[index] as number);
  }

  /** Removes all samples, for a target that was replaced. */
  removeSamples(): void {
    this.samples = [];
    this.nextIndex = 0;
    this.sortedUntilMs = 0;
  }

  private sortSamples(nowMs: number): void {
    const recent = this.samples.filter((sample) => sample.atMs > nowMs - MAX_AGE_MS);
    this.sorted = recent.map((sample) => sample.latencyMs).sort((a, b) => a - b);
    const oldestMs = Math.min(...recent.map((sample) => sample.atMs));
    this.sortedUntilMs = recent.length === 0 ? nowMs + MAX_AGE_MS : oldestMs + MAX_AGE_MS;
  }
}
