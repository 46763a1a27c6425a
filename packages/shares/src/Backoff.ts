/**
 * Waiting between tries, by key.
 */
import type Clock from '@burdockcove/runtime/Clock';
import type Random from '@burdockcove/runtime/Random';

const FIRST_MS = 20;
const MAX_MS = 200;

/** Doubles with each failure, with jitter over the upper half. */
export default class Backoff {
  private readonly waits = new Map<string, { delayMs: number; untilMs: number }>();

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  isOver(key: string): boolean {
    const wait = this.waits.get(key);
    return wait === undefined || this.clock.getMonotonicMs() >= wait.untilMs;
  }

  add(key: string): void {
    const nowMs = this.clock.getMonotonicMs();
    this.removeOld(nowMs);
    const delayMs = Math.min(MAX_MS, (this.waits.get(key)?.delayMs ?? FIRST_MS / 2) * 2);
    const untilMs = nowMs + delayMs * (0.5 + this.random.nextFloat() / 2);
    this.waits.set(key, { delayMs, untilMs });
  }

  remove(key: string): void {
    this.waits.delete(key);
  }

  private removeOld(nowMs: number): void {
    for (const [key, wait] of this.waits) {
      if (wait.untilMs + 2 * MAX_MS < nowMs) {
        this.waits.delete(key);
      }
    }
  }
}
