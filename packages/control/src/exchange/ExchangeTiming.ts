/**
 * Times of exchanges and of failure detection.
 */

/** All in milliseconds. */
interface ExchangeTiming {
  /** Between two exchanges of one VM, give or take a quarter. */
  readonly intervalMs: number;
  /** Longest time for the answer to one exchange. */
  readonly timeoutMs: number;
  /** From the first suspicion until a VM counts as unreachable. */
  readonly failureTimeoutMs: number;
}

export default ExchangeTiming;
