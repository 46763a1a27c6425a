/**
 * Requests that wait for a slot at this entry VM.
 */
import type Clock from '@burdockcove/runtime/Clock';

/** A report of waiting requests counts for this long. */
const FRESH_MS = 3_000;

/** A group of targets, any of which would do, and how many requests wait. */
interface Demand {
  readonly targets: readonly string[];
  readonly waiting: number;
  readonly atMs: number;
}

/** Kept by group of targets; entries that are no longer fresh are dropped. */
export default class DemandBook {
  private readonly demands = new Map<string, Demand>();

  constructor(private readonly clock: Clock) {}

  noteDemand(targets: readonly string[], waiting: number): void {
    const key = targets.join(' ');
    if (waiting <= 0) {
      this.demands.delete(key);
      return;
    }
    this.demands.set(key, { targets, waiting, atMs: this.clock.getMonotonicMs() });
  }

  listFresh(): readonly Demand[] {
    const oldestMs = this.clock.getMonotonicMs() - FRESH_MS;
    for (const [key, demand] of this.demands) {
      if (demand.atMs < oldestMs) {
        this.demands.delete(key);
      }
    }
    return [...this.demands.values()];
  }

  /** Requests waiting that the target could serve. */
  countWaiting(target: string): number {
    return this.listFresh()
      .filter((demand) => demand.targets.includes(target))
      .reduce((sum, demand) => sum + demand.waiting, 0);
  }
}
