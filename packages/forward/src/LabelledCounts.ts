/**
 * Counts by two labels.
 */
import type { Counter, Gauge } from 'prom-client';

/** Cheaper to count with than a metric of `prom-client`, which hashes its labels each time. */
export default class LabelledCounts<First extends string, Second extends string> {
  private readonly counts = new Map<string, Map<string, number>>();

  constructor(
    private readonly first: First,
    private readonly second: Second,
  ) {}

  /** Counts one more, or the change given. */
  add(first: string, second: string, change = 1): void {
    let row = this.counts.get(first);
    if (row === undefined) {
      row = new Map();
      this.counts.set(first, row);
    }
    row.set(second, (row.get(second) ?? 0) + change);
  }

  /** Sets the metric to these counts. */
  publish(metric: Counter<First | Second> | Gauge<First | Second>): void {
    metric.reset();
    this.addTo(metric, {});
  }

  /** Adds these counts to the metric, under further labels where it has more than two. */
  addTo<Label extends string>(
    metric: Counter<Label> | Gauge<Label>,
    further: Partial<Record<string, string>>,
  ): void {
    this.counts.forEach((row, first) => {
      row.forEach((count, second) => {
        const labels = { [this.first]: first, [this.second]: second, ...further };
        metric.inc(labels as Partial<Record<Label, string>>, count);
      });
    });
  }
}
