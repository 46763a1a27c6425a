/**
 * Requests that an owner granted to this VM for a short time.
 */
import type Clock from '@burdockcove/runtime/Clock';
import type AskedAt from './AskedAt.js';

/** Times are in milliseconds. */
export default class Portion {
  private readonly untilMs: number;

  /** The monotonic clock may stand still while a VM is suspended, so the time of day has to agree. */
  private readonly untilWallMs: number;

  constructor(
    /** Requests not used yet. */
    public left: number,
    { monotonicMs, wallMs }: AskedAt,
    lifetimeMs: number,
  ) {
    this.untilMs = monotonicMs + lifetimeMs;
    this.untilWallMs = wallMs + lifetimeMs;
  }

  /** Returns the time for which the portion may still be used; 0 or less if it is void. */
  getRemainingMs(clock: Clock): number {
    return Math.min(this.untilMs - clock.getMonotonicMs(), this.untilWallMs - clock.getWallMs());
  }
}
