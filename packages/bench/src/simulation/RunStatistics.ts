/**
 * What callers saw of a simulated run.
 */
import type RequestOutcome from './RequestOutcome.js';

/** Latencies count from when a request was due. */
export default class RunStatistics {
  private readonly latencies: number[] = [];

  private readonly answeredLatencies: number[] = [];

  private readonly refusalLatencies: number[] = [];

  private readonly counts = { answered: 0, refused: 0, shed: 0, late: 0 };

  /** A request without an answer counts with the caller's whole deadline among the latencies of all. */
  record(outcome: RequestOutcome, latencyMs: number, deadlineMs: number): void {
    this.counts[outcome] += 1;
    this.latencies.push(outcome === 'answered' ? latencyMs : deadlineMs);
    if (outcome === 'answered') {
      this.answeredLatencies.push(latencyMs);
    }
    if (outcome === 'refused') {
      this.refusalLatencies.push(latencyMs);
    }
  }

  getCount(outcome: RequestOutcome): number {
    return this.counts[outcome];
  }

  getTotal(): number {
    return this.latencies.length;
  }

  getShare(outcome: RequestOutcome): number {
    return this.counts[outcome] / Math.max(1, this.latencies.length);
  }

  /** Milliseconds that the share `quantile` of all requests stayed below. */
  computeQuantile(quantile: number): number {
    return RunStatistics.pickQuantile(this.latencies, quantile);
  }

  computeAnsweredQuantile(quantile: number): number {
    return RunStatistics.pickQuantile(this.answeredLatencies, quantile);
  }

  computeRefusalQuantile(quantile: number): number {
    return RunStatistics.pickQuantile(this.refusalLatencies, quantile);
  }

  private static pickQuantile(values: readonly number[], quantile: number): number {
    const sorted = [...values].sort((a, b) => a - b);
    return sorted[Math.min(sorted.length - 1, Math.floor(quantile * sorted.length))] ?? 0;
  }
}
