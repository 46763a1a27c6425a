/**
 * Exponential backoff with jitter, by key.
 */
import type Clock from '@burdockcove/runtime/Clock';
import type Random from '@burdockcove/runtime/Random';

/** Delay after the first failure. */
const INITIAL_DELAY_MS = 20;
const MAX_DELAY_MS = 200;

/** The delay doubles with each consecutive failure; its upper half is random. */
export default class Backoff {
  private readonly delays = new Map<string, { delayMs: number; untilMs: number }>();

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** Whether the key has no delay pending. */
  canRetry(key: string): boolean {
    const entry = this.delays.get(key);
    return entry === undefined || this.clock.getMonotonicMs() >= entry.untilMs;
  }

  recordFailure(key: string): void {
    const nowMs = this.clock.getMonotonicMs();
    this.removeExpired(nowMs);
    const delayMs = Math.min(
      MAX_DELAY_MS,
      (this.delays.get(key)?.delayMs ?? INITIAL_DELAY_MS / 2) * 2,
    );
    const untilMs = nowMs + delayMs * (0.5 + this.random.nextFloat() / 2);
    this.delays.set(key, { delayMs, untilMs });
  }

  reset(key: string): void {
    this.delays.delete(key);
  }

  /** Removes delays that ended more than twice the longest delay ago. */
  private removeExpired(nowMs: number): void {
    for (const [key, entry] of this.delays) {
      if (entry.untilMs + 2 * MAX_DELAY_MS < nowMs) {
        this.delays.delete(key);
      }
    }
  }
}
