/**
 * Whether a queue stands, that is, never empties.
 */

const INTERVAL_MS = 100;

/** A queue stands while it has not been empty for a whole interval, as CoDel judges it. */
export default class StandingQueue {
  private emptyAtMs = 0;

  /** To be told the queue's length after each change. */
  recordLength(nowMs: number, length: number): void {
    if (length === 0) {
      this.emptyAtMs = nowMs;
    }
  }

  isStanding(nowMs: number): boolean {
    return nowMs - this.emptyAtMs >= INTERVAL_MS;
  }
}
