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

/** Checks all watched exchanges with one timer, which runs only while there are any. */
export default class SilenceDetector {
  private readonly watched = new Set<WatchedExchange>();

  private timer: Timer | null = null;

  constructor(private readonly clock: Clock) {}

  add(entry: WatchedExchange): void {
    this.watched.add(entry);
    this.timer ??= this.clock.startTimer(CHECK_INTERVAL_MS, () => this.checkAll());
  }

  remove(entry: WatchedExchange): void {
    this.watched.delete(entry);
  }

  private checkAll(): void {
    this.timer = null;
    const nowMs = this.clock.getMonotonicMs();
    for (const entry of this.watched) {
      if (nowMs - entry.progressAtMs >= entry.silenceLimitMs) {
        entry.onSilent();
      }
    }
    if (this.watched.size > 0) {
      this.timer = this.clock.startTimer(CHECK_INTERVAL_MS, () => this.checkAll());
    }
  }
}
