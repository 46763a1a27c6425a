/**
 * The longest deadline that any request in flight can have.
 */
import type Configuration from '@burdockcove/types/Configuration';
import type Clock from '@burdockcove/runtime/Clock';
import type ShareTiming from '../ShareTiming.js';
import computeWaitMs from '../computeWaitMs.js';

/** A raised deadline counts at once, a lowered one after the old one has passed. */
export default class DeadlineBook {
  private readonly loweredAtMs = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly timing: ShareTiming,
  ) {}

  /** The value for the region's plan, in milliseconds. */
  noteDeadlines(region: string, configuration: Configuration, plannedMs: number): number {
    const configuredMs = Math.max(0, ...configuration.services.map((each) => each.deadlineMs));
    if (configuredMs >= plannedMs) {
      this.loweredAtMs.delete(region);
      return configuredMs;
    }
    const nowMs = this.clock.getMonotonicMs();
    const sinceMs = this.loweredAtMs.get(region) ?? nowMs;
    this.loweredAtMs.set(region, sinceMs);
    const isOver = nowMs - sinceMs >= computeWaitMs(plannedMs, this.timing);
    return isOver ? configuredMs : plannedMs;
  }

  clear(): void {
    this.loweredAtMs.clear();
  }
}
