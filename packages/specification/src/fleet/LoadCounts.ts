/**
 * Requests of a simulation by second.
 */

const MS_PER_SECOND = 1_000;

/** Offered and served requests of each second of virtual time. */
export default class LoadCounts {
  private readonly offered: number[] = [];

  private readonly served: number[] = [];

  addOffered(nowMs: number): void {
    LoadCounts.add(this.offered, nowMs);
  }

  addServed(nowMs: number): void {
    LoadCounts.add(this.served, nowMs);
  }

  sumOffered(fromSecond: number, toSecond: number): number {
    return LoadCounts.sum(this.offered, fromSecond, toSecond);
  }

  sumServed(fromSecond: number, toSecond: number): number {
    return LoadCounts.sum(this.served, fromSecond, toSecond);
  }

  private static add(counts: number[], nowMs: number): void {
    const second = Math.floor(nowMs / MS_PER_SECOND);
    while (counts.length <= second) {
      counts.push(0);
    }
    const counted = counts[second] ?? 0;
    counts.splice(second, 1, counted + 1);
  }

  private static sum(counts: readonly number[], from: number, to: number): number {
    return counts.slice(from, to).reduce((sum, count) => sum + count, 0);
  }
}
