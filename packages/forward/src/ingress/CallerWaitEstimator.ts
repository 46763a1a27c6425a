/**
 * How long callers have waited before a request came: a caller that comes back has less of its deadline left.
 */

/** Services remembered; the one seen first is forgotten. */
const MAX_SERVICES = 1024;

/** Learns how long callers of each service wait in all. */
export default class CallerWaitEstimator {
  private readonly longestMs = new Map<string, number>();

  /** Milliseconds for which the caller has waited, by the milliseconds that it will still wait. */
  estimateWaitedMs(service: string, remainingMs: number): number {
    const longestMs = Math.max(remainingMs, this.longestMs.get(service) ?? 0);
    this.longestMs.set(service, longestMs);
    const [first] = this.longestMs.keys();
    if (this.longestMs.size > MAX_SERVICES && first !== undefined) {
      this.longestMs.delete(first);
    }
    return longestMs - remainingMs;
  }
}
