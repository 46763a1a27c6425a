/**
 * Estimates how long a caller has waited before a request: a caller that retries sends a shorter deadline.
 */

/** Limit on the services recorded; beyond it, the one recorded first is removed. */
const MAX_SERVICES = 1024;

/** Records the longest deadline of each service's callers, as the total time that they wait. */
export default class CallerWaitEstimator {
  private readonly longestMs = new Map<string, number>();

  /** Returns the milliseconds for which the caller has waited; `remainingMs` is the deadline that it sent. */
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
