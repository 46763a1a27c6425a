/**
 * Requests that wait for a slot at this entry VM.
 */
import type Clock from '@burdockcove/runtime/Clock';

/** Time for which a recorded number of waiting requests counts. */
const DEMAND_TTL_MS = 3_000;

/** The number of requests that wait for any one of a group of targets. */
interface Demand {
  readonly targets: readonly string[];
  readonly waiting: number;
  readonly recordedAtMs: number;
}

/** Tracks demand by group of targets and removes entries that are older than the time to live. */
export default class DemandTracker {
  private readonly demands = new Map<string, Demand>();

  constructor(private readonly clock: Clock) {}

  /** Records how many requests wait for the group; zero removes the group. */
  recordDemand(targets: readonly string[], waiting: number): void {
    const key = targets.join(' ');
    if (waiting <= 0) {
      this.demands.delete(key);
      return;
    }
    this.demands.set(key, { targets, waiting, recordedAtMs: this.clock.getMonotonicMs() });
  }

  /** Returns the demands that are within their time to live. */
  listCurrent(): readonly Demand[] {
    const minRecordedAtMs = this.clock.getMonotonicMs() - DEMAND_TTL_MS;
    for (const [key, demand] of this.demands) {
      if (demand.recordedAtMs < minRecordedAtMs) {
        this.demands.delete(key);
      }
    }
    return [...this.demands.values()];
  }

  /** Number of waiting requests that the target could serve. */
  countWaiting(target: string): number {
    return this.listCurrent()
      .filter((demand) => demand.targets.includes(target))
      .reduce((sum, demand) => sum + demand.waiting, 0);
  }
}
