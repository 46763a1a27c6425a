/**
 * Longest deadline that any request in flight can have.
 */
import type Configuration from '@burdockcove/types/Configuration';
import type Clock from '@burdockcove/runtime/Clock';
import type ShareTiming from '../ShareTiming.js';
import computeDriftSafeWaitMs from '../computeDriftSafeWaitMs.js';

/**
 * A longer deadline applies immediately, a shorter one only after the previous deadline has
 * elapsed.
 */
export default class DeadlineTracker {
  private readonly loweredSinceMs = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly timing: ShareTiming,
  ) {}

  /** Returns the longest deadline for the region's plan, in milliseconds. */
  updateDeadline(region: string, configuration: Configuration, plannedMs: number): number {
    const configuredMs = Math.max(
      0,
      ...configuration.services.map((service) => service.deadlineMs),
    );
    if (configuredMs >= plannedMs) {
      this.loweredSinceMs.delete(region);
      return configuredMs;
    }
    const nowMs = this.clock.getMonotonicMs();
    const sinceMs = this.loweredSinceMs.get(region) ?? nowMs;
    this.loweredSinceMs.set(region, sinceMs);
    const hasElapsed = nowMs - sinceMs >= computeDriftSafeWaitMs(plannedMs, this.timing);
    return hasElapsed ? configuredMs : plannedMs;
  }

  clear(): void {
    this.loweredSinceMs.clear();
  }
}
