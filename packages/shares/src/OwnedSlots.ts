/**
 * The slots that plans assign to this entry VM, and the requests in flight on them.
 */
import { isSome } from 'fp-ts/lib/Option.js';
import type Target from '@burdockcove/types/Target';
import type PlanTracker from './PlanTracker.js';
import type PlanState from './PlanState.js';

/** This VM's share of a target, and the region whose plan contains it. */
interface PlannedShare {
  readonly region: string;
  readonly share: number;
  /** Slots of the target when the plan was computed. */
  readonly slots: number;
}

/** Looks up shares by target. The index is rebuilt after `invalidateIndex`. */
export default class OwnedSlots {
  private readonly inUse = new Map<string, number>();

  private index: Map<string, PlannedShare> | undefined;

  constructor(private readonly plans: PlanTracker) {}

  /** Discards the index; to be called after a plan or the configuration has changed. */
  invalidateIndex(): void {
    this.index = undefined;
  }

  /**
   * Slots owned now. If the configuration reduces the target's slots, the share shrinks
   * proportionally at once.
   */
  countOwned(target: Target): number {
    const planned = this.findShare(target.name);
    if (planned === undefined || !this.plans.isSettled(planned.region)) {
      return 0;
    }
    const scaled = Math.floor((planned.share * target.slots) / planned.slots);
    return Math.min(planned.share, scaled);
  }

  countInUse(target: string): number {
    return this.inUse.get(target) ?? 0;
  }

  addInUse(target: string, change: number): void {
    const inUse = this.countInUse(target) + change;
    if (inUse === 0) {
      this.inUse.delete(target);
    } else {
      this.inUse.set(target, inUse);
    }
  }

  private findShare(target: string): PlannedShare | undefined {
    this.index ??= this.buildIndex();
    return this.index.get(target);
  }

  private buildIndex(): Map<string, PlannedShare> {
    const index = new Map<string, PlannedShare>();
    for (const region of this.plans.listRegions()) {
      const state = this.plans.getState(region);
      if (isSome(state) && state.value.rowIndex >= 0) {
        OwnedSlots.addShares(index, region, state.value);
      }
    }
    return index;
  }

  private static addShares(
    index: Map<string, PlannedShare>,
    region: string,
    { plan, rowIndex }: PlanState,
  ): void {
    plan.targets.forEach((target, position) => {
      const share = plan.rows[rowIndex]?.shares[position] ?? 0;
      const slots = plan.slots[position] ?? 0;
      if (share > 0 && slots > 0) {
        index.set(target, { region, share, slots });
      }
    });
  }
}
