/**
 * How many requests this VM may have at one target, learned from the target's reports.
 *
 * All entry VMs share a target's slots without talking: each widens its window while the target reports nobody
 * waiting, and narrows it when requests wait there, so that together they keep the slots busy and the queue short.
 * A window below one is kept by pausing between requests.
 */

/** Requests added to the window by an answer that reports nobody waiting. */
const WIDEN_BY = 0.3;
/** Factor on the window at an answer that reports requests waiting. */
const NARROW_FACTOR = 0.75;
/** Factor on the window where the target refused. */
const SHED_FACTOR = 0.5;
const MIN_WINDOW = 0.25;
/** Requests that may wait at a target, as a share of its slots. */
const WAITING_SHARE = 0.7;
/** Requests that may wait at a target beyond its slots, so that a slot never stands idle. */
const SPARE = 1;

/** Times are monotonic, in milliseconds. */
export default class ConcurrencyWindow {
  private size: number;

  private lastSentMs = -Infinity;

  private narrowedAtMs = -Infinity;

  constructor(private readonly slots: number) {
    this.size = slots;
  }

  /** Whether one more request may go to the target; `extra` widens the window for urgent ones. */
  hasRoom(inFlight: number, usualMs: number, extra: number, nowMs: number): boolean {
    const size = this.size + extra;
    if (size >= 1) {
      return inFlight + 1 <= size;
    }
    return inFlight === 0 && nowMs - this.lastSentMs >= usualMs / size;
  }

  recordSent(nowMs: number): void {
    this.lastSentMs = nowMs;
  }

  /** Learns from an answer's report of `waiting` requests; narrows once a round trip at most. */
  recordReport(waiting: number, usualMs: number, nowMs: number): void {
    if (waiting <= this.slots * WAITING_SHARE) {
      this.size = Math.min(this.slots + SPARE, this.size + WIDEN_BY);
    } else {
      this.narrow(NARROW_FACTOR, usualMs, nowMs);
    }
  }

  /** Learns that the target refused a request since it was full. */
  recordShed(usualMs: number, nowMs: number): void {
    this.narrow(SHED_FACTOR, usualMs, nowMs);
  }

  private narrow(factor: number, usualMs: number, nowMs: number): void {
    if (nowMs - this.narrowedAtMs >= usualMs / 2) {
      this.size = Math.max(MIN_WINDOW, this.size * factor);
      this.narrowedAtMs = nowMs;
    }
  }
}
