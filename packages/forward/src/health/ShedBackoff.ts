/**
 * A pause after a target has shed a request.
 */
import type Random from '@burdockcove/runtime/Random';

const FIRST_PAUSE_MS = 25;
const MAX_PAUSE_MS = 500;

/** The pause doubles with each shed in a row and varies, so that entry VMs do not come back together. */
export default class ShedBackoff {
  private untilMs = 0;

  private inRow = 0;

  constructor(private readonly random: Random) {}

  isPaused(nowMs: number): boolean {
    return nowMs < this.untilMs;
  }

  recordShed(nowMs: number): void {
    const pauseMs = Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** this.inRow);
    this.inRow += 1;
    this.untilMs = nowMs + pauseMs * (0.5 + this.random.nextFloat());
  }

  recordAnswer(): void {
    this.inRow = 0;
    this.untilMs = 0;
  }
}
