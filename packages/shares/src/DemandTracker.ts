/**
 * Requests that wait for a slot at this entry VM.
 */
import type Clock from '@burdockcove/runtime/Clock';

/** A report of waiting requests counts for this long. */
const DEMAND_TTL_MS = 3_000;

/** A group of targets, any of which would do, and how many requests wait. */
interface Demand {
  readonly targets: readonly string[];
  readonly waiting: number;
  readonly recordedAtMs: number;
}

/** Kept by group of targets; entries that are no longer fresh are dropped. */
export default class DemandTracker {
  private readonly demands = new Map<string, Demand>();

  constructor(private readonly clock: Clock) {}

  recordDemand(targets: readonly string[], waiting: number): void {
    const key = targets.join(' ');
    if (waiting <= 0) {
      this.demands.delete(key);
      return;
    }
    this.demands.set(key, { targets, waiting, recordedAtMs: this.clock.getMonotonicMs() });
  }

  listCurrent(): readonly Demand[] {
    const minRecordedAtMs = this.clock.getMonotonicMs() - DEMAND_TTL_MS;
    for (const [key, demand] of this.demands) {
      if (demand.recordedAtMs < minRecordedAtMs) {
        this.demands.delete(key);
      }
    }
    return [...this.demands.values()];
  }

  /** Requests waiting that the target could serve. */
  countWaiting(target: string): number {
    return this.listCurrent()
      .filter((demand) => demand.targets.includes(target))
      .reduce((sum, demand) => sum + demand.waiting, 0);
  }
}
