/**
 * Recent latencies, from which quantiles are estimated.
 */
import { none, some, type Option } from 'fp-ts/lib/Option.js';

const MAX_SAMPLES = 48;
/** A sample older than this says nothing about now. */
const MAX_AGE_MS = 10_000;
const MIN_SAMPLES = 3;
/** A sorted order is used for this long though newer samples came, since sorting costs more than it tells. */
const SORT_INTERVAL_MS = 5;

/** Keeps the last samples; those too old are left out, so that an estimate ages to "unknown". */
export default class LatencyWindow {
  private samples: { readonly atMs: number; readonly latencyMs: number }[] = [];

  private sorted: readonly number[] = [];

  private sortedUntilMs = 0;

  private next = 0;

  record(nowMs: number, latencyMs: number): void {
    this.samples[this.next] = { atMs: nowMs, latencyMs };
    this.next = (this.next + 1) % MAX_SAMPLES;
    const isTooFew = this.sorted.length < MIN_SAMPLES;
    this.sortedUntilMs = isTooFew ? 0 : Math.min(this.sortedUntilMs, nowMs + SORT_INTERVAL_MS);
  }

  /** The latency in milliseconds that the share `quantile` of recent samples stayed below; none where unknown. */
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

  /** Forgets everything, for a target that is no longer what it was. */
  removeSamples(): void {
    this.samples = [];
    this.next = 0;
    this.sortedUntilMs = 0;
  }

  private sortSamples(nowMs: number): void {
    const recent = this.samples.filter((sample) => sample.atMs > nowMs - MAX_AGE_MS);
    this.sorted = recent.map((sample) => sample.latencyMs).sort((a, b) => a - b);
    const oldestMs = Math.min(...recent.map((sample) => sample.atMs));
    this.sortedUntilMs = recent.length === 0 ? nowMs + MAX_AGE_MS : oldestMs + MAX_AGE_MS;
  }
}
