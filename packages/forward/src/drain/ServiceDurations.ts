/**
 * Longest durations of late, by service.
 */
import BoundedMap from '@burdockcove/runtime/BoundedMap';
import type Clock from '@burdockcove/runtime/Clock';

/** Durations are kept for one to two windows. */
const WINDOW_MS = 30_000;
const MAX_SERVICES = 1024;

interface Longest {
  readonly windowStartMs: number;
  readonly currentMs: number;
  /** Longest duration of the window before, in milliseconds. */
  readonly previousMs: number;
}

/** All times are in milliseconds. */
export default class ServiceDurations {
  private readonly services = new BoundedMap<string, Longest>(MAX_SERVICES);

  constructor(private readonly clock: Clock) {}

  record(service: string, durationMs: number): void {
    const known = this.findCurrent(service);
    const currentMs = Math.max(known.currentMs, durationMs);
    this.services.set(service, { ...known, currentMs });
  }

  /** Returns the longest duration of late; infinite if none was recorded. */
  getLongestMs(service: string): number {
    const { currentMs, previousMs } = this.findCurrent(service);
    const longestMs = Math.max(currentMs, previousMs);
    return longestMs < 0 ? Infinity : longestMs;
  }

  private findCurrent(service: string): Longest {
    const nowMs = this.clock.getMonotonicMs();
    const known = this.services.get(service);
    const ageMs = known === undefined ? Infinity : nowMs - known.windowStartMs;
    if (known !== undefined && ageMs < WINDOW_MS) {
      return known;
    }
    const isPrevious = known !== undefined && ageMs < 2 * WINDOW_MS;
    const previousMs = isPrevious ? known.currentMs : -1;
    return { windowStartMs: nowMs, currentMs: -1, previousMs };
  }
}
