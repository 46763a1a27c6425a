/**
 * The slots that the plans give to this entry VM and the requests in flight on them.
 */
import { isSome } from 'fp-ts/lib/Option.js';
import type Target from '@burdockcove/types/Target';
import type PlanTracker from './PlanTracker.js';
import type PlanState from './PlanState.js';

/** A target's share in the plan that names it. */
interface PlannedShare {
  readonly region: string;
  readonly share: number;
  /** Slots of the target that the plan was made for. */
  readonly slots: number;
}

/** Looks shares up by target; the index is rebuilt after `clear`. */
export default class OwnedSlots {
  private readonly inUse = new Map<string, number>();

  private index: Map<string, PlannedShare> | undefined;

  constructor(private readonly plans: PlanTracker) {}

  /** Forgets the index after a plan or the configuration changed. */
  invalidateIndex(): void {
    this.index = undefined;
  }

  /** Slots owned now. Where the configuration lowered the target's slots, the share shrinks in proportion at once. */
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
