/**
 * Counts by the values of two labels.
 */
import type { Counter, Gauge } from 'prom-client';

/** Cheaper to increment than a metric of `prom-client`, which hashes its labels each time. */
export default class LabelledCounts<First extends string, Second extends string> {
  private readonly counts = new Map<string, Map<string, number>>();

  constructor(
    private readonly firstLabel: First,
    private readonly secondLabel: Second,
  ) {}

  /** Adds `change` to the count of these two label values. */
  add(first: string, second: string, change = 1): void {
    let row = this.counts.get(first);
    if (row === undefined) {
      row = new Map();
      this.counts.set(first, row);
    }
    row.set(second, (row.get(second) ?? 0) + change);
  }

  /** Resets the metric to these counts. */
  publish(metric: Counter<First | Second> | Gauge<First | Second>): void {
    metric.reset();
    this.addToMetric(metric, {});
  }

  /** Adds these counts to the metric; `extraLabels` are the values of any labels beyond the two. */
  addToMetric<Label extends string>(
    metric: Counter<Label> | Gauge<Label>,
    extraLabels: Partial<Record<string, string>>,
  ): void {
    this.counts.forEach((row, first) => {
      row.forEach((count, second) => {
        const labels = { [this.firstLabel]: first, [this.secondLabel]: second, ...extraLabels };
        metric.inc(labels as Partial<Record<Label, string>>, count);
      });
    });
  }
}
