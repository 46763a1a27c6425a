/**
 * Selection of the entry VMs to request slots from.
 */
import { isSome } from 'fp-ts/lib/Option.js';
import type EntryVm from '@burdockcove/types/EntryVm';
import type Membership from '@burdockcove/types/Membership';
import type Clock from '@burdockcove/runtime/Clock';
import type Random from '@burdockcove/runtime/Random';
import Backoff from './Backoff.js';
import type PlanTracker from './PlanTracker.js';
import type PlanState from './PlanState.js';

/** An owner, and the wanted targets of which it owns slots. */
interface OwnerChoice {
  readonly owner: Pick<EntryVm, 'address' | 'peerAddress'>;
  readonly targets: readonly string[];
  /** Position of the region's first target among the wanted ones; nearer regions come first. */
  readonly rank: number;
}

/**
 * Ranks owners by region in the order of the wanted targets; within a region, owners in the same
 * failure domain come first and the rest follow in random order. Owners that recently refused or
 * failed are omitted.
 */
export default class OwnerRanker {
  private readonly backoff: Backoff;

  constructor(
    clock: Clock,
    private readonly random: Random,
    private readonly membership: Membership,
    private readonly plans: PlanTracker,
  ) {
    this.backoff = new Backoff(clock, random);
  }

  rankOwners(targets: readonly string[], limit: number): readonly OwnerChoice[] {
    const wanted = new Map(targets.map((target, index) => [target, index]));
    const domains = new Map(
      this.membership
        .getMembers()
        .filter((member) => member.reachable)
        .map((member) => [member.address, member.failureDomain]),
    );
    const self = this.membership.getSelf();
    const choices = this.plans
      .listRegions()
      .flatMap((region) => this.listOwnersInRegion(region, wanted))
      .filter(({ owner }) => owner.address !== self.address && domains.has(owner.address))
      .filter(({ owner }) => this.backoff.canRetry(owner.address))
      .map((choice) => ({
        choice,
        domainRank: domains.get(choice.owner.address) === self.failureDomain ? 0 : 1,
        tieBreaker: this.random.nextFloat(),
      }));
    choices.sort(
      (a, b) =>
        a.choice.rank - b.choice.rank || a.domainRank - b.domainRank || a.tieBreaker - b.tieBreaker,
    );
    return choices.slice(0, limit).map(({ choice }) => choice);
  }

  recordResponse(address: string, granted: boolean): void {
    if (granted) {
      this.backoff.reset(address);
    } else {
      this.backoff.recordFailure(address);
    }
  }

  recordFailure(address: string): void {
    this.backoff.recordFailure(address);
  }

  private listOwnersInRegion(
    region: string,
    wanted: ReadonlyMap<string, number>,
  ): readonly OwnerChoice[] {
    const state = this.plans.getState(region);
    return isSome(state) ? OwnerRanker.listPlanOwners(state.value, wanted) : [];
  }

  private static listPlanOwners(
    { plan }: PlanState,
    wanted: ReadonlyMap<string, number>,
  ): OwnerChoice[] {
    const columns = plan.targets.flatMap((target, index) => (wanted.has(target) ? [index] : []));
    const rank = Math.min(...columns.map((column) => wanted.get(plan.targets[column] ?? '') ?? 0));
    return columns.length === 0
      ? []
      : plan.rows.flatMap((row) => {
          const owned = columns.filter((column) => (row.shares[column] ?? 0) > 0);
          const targets = owned.map((column) => plan.targets[column] ?? '');
          return targets.length > 0 ? [{ owner: row, targets, rank }] : [];
        });
  }
}
