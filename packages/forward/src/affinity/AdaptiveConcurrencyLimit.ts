/**
 * Limit on the requests that this VM may have in flight at one target, adapted to the target's load reports.
 *
 * The entry VMs share a target's slots without coordination: each increases its limit additively while the target
 * reports a short queue, and decreases it multiplicatively when the queue grows, so that together they keep the slots
 * busy and the queue short. A limit below one is enforced by spacing requests in time.
 */

/** Increase of the limit per response that reports a short queue. */
const INCREASE_STEP = 0.3;
/** Factor on the limit at a response that reports a long queue. */
const DECREASE_FACTOR = 0.75;
/** Factor on the limit when the target shed a request. */
const SHED_DECREASE_FACTOR = 0.5;
const MIN_LIMIT = 0.25;
/** Longest queue at a target at which the limit still grows, as a share of its slots. */
const MAX_QUEUE_SHARE = 0.7;
/** Requests by which the limit may exceed the slots, so that a slot never idles between two requests. */
const MAX_EXTRA_REQUESTS = 1;

/** Times are monotonic, in milliseconds. */
export default class AdaptiveConcurrencyLimit {
  private limit: number;

  private lastSentAtMs = -Infinity;

  private decreasedAtMs = -Infinity;

  constructor(private readonly slots: number) {
    this.limit = slots;
  }

  /** Whether one more request may be sent to the target; `extraRequests` raises the limit for urgent requests. */
  hasCapacity(
    inFlight: number,
    meanLatencyMs: number,
    extraRequests: number,
    nowMs: number,
  ): boolean {
    const limit = this.limit + extraRequests;
    if (limit >= 1) {
      return inFlight + 1 <= limit;
    }
    return inFlight === 0 && nowMs - this.lastSentAtMs >= meanLatencyMs / limit;
  }

  recordSent(nowMs: number): void {
    this.lastSentAtMs = nowMs;
  }

  /** Adapts the limit to the queue length that a response reports; a negative length means free slots. */
  recordReport(queueLength: number, meanLatencyMs: number, nowMs: number): void {
    if (queueLength <= this.slots * MAX_QUEUE_SHARE) {
      this.limit = Math.min(this.slots + MAX_EXTRA_REQUESTS, this.limit + INCREASE_STEP);
    } else {
      this.decrease(DECREASE_FACTOR, meanLatencyMs, nowMs);
    }
  }

  /** Decreases the limit after the target shed a request because it was full. */
  recordShed(meanLatencyMs: number, nowMs: number): void {
    this.decrease(SHED_DECREASE_FACTOR, meanLatencyMs, nowMs);
  }

  /** Decreases at most once per half mean latency, since the effect shows only in later responses. */
  private decrease(factor: number, meanLatencyMs: number, nowMs: number): void {
    if (nowMs - this.decreasedAtMs >= meanLatencyMs / 2) {
      this.limit = Math.max(MIN_LIMIT, this.limit * factor);
      this.decreasedAtMs = nowMs;
    }
  }
}
