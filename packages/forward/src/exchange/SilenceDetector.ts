/**
 * Detects exchanges on which no bytes are sent or received any more.
 */
import type Clock from '@burdockcove/runtime/Clock';
import type Timer from '@burdockcove/runtime/Timer';

const CHECK_INTERVAL_MS = 50;

/** An exchange to watch. */
interface WatchedExchange {
  /** Monotonic time of the last byte, in milliseconds. */
  readonly progressAtMs: number;
  /** Time without a byte after which the exchange counts as silent, in milliseconds. */
  readonly silenceLimitMs: number;
  /** Called at each check while the exchange is silent. */
  onSilent(): void;
}

/** Checks all watched exchanges with one timer, which runs only while there are any, when the first of them may be silent. */
export default class SilenceDetector {
  private readonly watched = new Set<WatchedExchange>();

  private timer: Timer | null = null;

  /** Monotonic time of the next check, in milliseconds. */
  private checkAtMs = Infinity;

  constructor(private readonly clock: Clock) {}

  add(entry: WatchedExchange): void {
    this.watched.add(entry);
    this.schedule(entry.progressAtMs + entry.silenceLimitMs);
  }

  remove(entry: WatchedExchange): void {
    this.watched.delete(entry);
  }

  /** Schedules a check at the monotonic time, or after an interval if that is later, unless there is one before. */
  private schedule(dueAtMs: number): void {
    const nowMs = this.clock.getMonotonicMs();
    const checkAtMs = Math.max(nowMs + CHECK_INTERVAL_MS, dueAtMs);
    if (checkAtMs < this.checkAtMs) {
      this.timer?.cancel();
      this.checkAtMs = checkAtMs;
      this.timer = this.clock.startTimer(Math.ceil(checkAtMs - nowMs), () => this.checkAll());
    }
  }

  private checkAll(): void {
    this.timer = null;
    this.checkAtMs = Infinity;
    const nowMs = this.clock.getMonotonicMs();
    for (const entry of this.watched) {
      if (nowMs - entry.progressAtMs >= entry.silenceLimitMs) {
        entry.onSilent();
      }
    }
    let dueAtMs = Infinity;
    for (const entry of this.watched) {
      dueAtMs = Math.min(dueAtMs, entry.progressAtMs + entry.silenceLimitMs);
    }
    if (dueAtMs < Infinity) {
      this.schedule(dueAtMs);
    }
  }
}
