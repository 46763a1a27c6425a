/**
 * Backoff after a target has shed a request.
 */
import type Random from '@burdockcove/runtime/Random';

const INITIAL_BACKOFF_MS = 25;
const MAX_BACKOFF_MS = 500;

/** Doubles with each consecutive shed and has random jitter, so that entry VMs do not return at the same time. */
export default class ShedBackoff {
  private untilMs = 0;

  private consecutiveSheds = 0;

  constructor(private readonly random: Random) {}

  isBackingOff(nowMs: number): boolean {
    return nowMs < this.untilMs;
  }

  recordShed(nowMs: number): void {
    const backoffMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** this.consecutiveSheds);
    this.consecutiveSheds += 1;
    this.untilMs = nowMs + backoffMs * (0.5 + this.random.nextFloat());
  }

  recordResponse(): void {
    this.consecutiveSheds = 0;
    this.untilMs = 0;
  }
}
