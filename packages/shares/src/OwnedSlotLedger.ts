/**
 * The slots of one entry VM: owned by plan, lent to other VMs, and borrowed from other VMs.
 */
import { isSome, none, some, type Option } from 'fp-ts/lib/Option.js';
import type Configuration from '@burdockcove/types/Configuration';
import type ConfigurationSource from '@burdockcove/types/ConfigurationSource';
import type Membership from '@burdockcove/types/Membership';
import type SlotLedger from '@burdockcove/types/SlotLedger';
import type SlotPermit from '@burdockcove/types/SlotPermit';
import type Target from '@burdockcove/types/Target';
import type Clock from '@burdockcove/runtime/Clock';
import type Replica from '@burdockcove/store/Replica';
import type StoreEntry from '@burdockcove/store/StoreEntry';
import BorrowedLoanTracker from './BorrowedLoanTracker.js';
import DemandTracker from './DemandTracker.js';
import LentLoanTracker from './LentLoanTracker.js';
import OwnedSlots from './OwnedSlots.js';
import PlanTracker from './PlanTracker.js';
import type ShareReport from './ShareReport.js';
import type ShareTiming from './ShareTiming.js';
import computeMaxHoldMs from './computeMaxHoldMs.js';
import getPlanKey from './getPlanKey.js';

const LEAVING_LABEL = 'leaving';

/** The permits of all entry VMs together never exceed a target's slots. */
export default class OwnedSlotLedger implements SlotLedger {
  readonly borrowed: BorrowedLoanTracker;

  readonly lent: LentLoanTracker;

  readonly demand: DemandTracker;

  readonly plans: PlanTracker;

  private readonly owned: OwnedSlots;

  private targets: ReadonlyMap<string, Target> = new Map();

  private readonly listeners = new Set<() => void>();

  private readonly demandListeners = new Set<() => void>();

  constructor(
    private readonly clock: Clock,
    private readonly timing: ShareTiming,
    private readonly membership: Membership,
    private readonly configuration: ConfigurationSource,
    replica: Replica,
  ) {
    this.borrowed = new BorrowedLoanTracker(clock);
    this.lent = new LentLoanTracker(clock);
    this.demand = new DemandTracker(clock);
    const { address } = membership.getSelf();
    this.plans = new PlanTracker(clock, address, timing, () => this.getMaxHoldMs());
    this.owned = new OwnedSlots(this.plans);
    this.subscribeToConfiguration();
    this.subscribeToPlans(replica);
  }

  countFree(target: string): number {
    return this.isUsable(target)
      ? this.countOwnedFree(target) + this.borrowed.countFree(target)
      : 0;
  }

  takeSlot(target: string): Option<SlotPermit> {
    if (!this.isUsable(target)) {
      return none;
    }
    if (this.countOwnedFree(target) > 0) {
      this.owned.addInUse(target, 1);
      return some(this.buildPermit(target, () => this.owned.addInUse(target, -1)));
    }
    const loan = this.borrowed.takeSlot(target);
    return loan === undefined
      ? none
      : some(this.buildPermit(target, () => loan.releaseSlot(this.clock.getMonotonicMs())));
  }

  requestSlots(targets: readonly string[], waiting: number): void {
    this.demand.recordDemand(targets, waiting);
    if (waiting > 0) {
      this.demandListeners.forEach((listener) => listener());
    }
  }

  subscribe(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /**
   * Calls the listener whenever requests start to wait; returns a function that unsubscribes it.
   */
  subscribeDemand(listener: () => void): () => void {
    this.demandListeners.add(listener);
    return () => this.demandListeners.delete(listener);
  }

  /** Notifies the listeners that a slot may have become free. */
  notifyListeners(): void {
    this.listeners.forEach((listener) => listener());
  }

  /** Applies a plan that this process has read directly from the store. */
  confirmPlan(region: string, entry: Option<StoreEntry>): void {
    this.plans.confirmEntry(region, entry);
    this.owned.invalidateIndex();
    this.notifyListeners();
  }

  /** Owned slots that are neither in use nor lent. */
  countOwnedFree(target: string): number {
    return Math.max(0, this.countOwnedNotLent(target) - this.owned.countInUse(target));
  }

  /**
   * Owned slots that are not lent; negative if the plan was reduced while loans are outstanding.
   */
  countOwnedNotLent(target: string): number {
    return this.countOwned(target) - this.lent.countLent(target);
  }

  /** Slots owned under the current plan and configuration. */
  countOwned(target: string): number {
    const configured = this.targets.get(target);
    return configured === undefined ? 0 : this.owned.countOwned(configured);
  }

  /** Requests in flight on owned slots. */
  countOwnedInUse(target: string): number {
    return this.owned.countInUse(target);
  }

  /** Monotonic time of this entry VM, in milliseconds. */
  getNowMs(): number {
    return this.clock.getMonotonicMs();
  }

  /** Longest time for which a request started now may occupy its slot, in milliseconds. */
  getMaxHoldMs(): number {
    const current = this.configuration.getCurrent();
    return isSome(current)
      ? computeMaxHoldMs(current.value.configuration, this.timing)
      : this.timing.marginMs;
  }

  /** Whether the target accepts new requests. */
  isUsable(target: string): boolean {
    const configured = this.targets.get(target);
    return (
      configured !== undefined &&
      configured.labels[LEAVING_LABEL] !== 'true' &&
      !this.membership.isTargetLeaving(configured.address)
    );
  }

  /** Slots by state, summed over the configured targets. */
  sumSlots(): Readonly<Record<'owned' | 'owned-in-use' | 'lent' | 'borrowed-in-use', number>> {
    const names = [...this.targets.keys()];
    const sum = (count: (target: string) => number): number =>
      names.reduce((total, target) => total + count(target), 0);
    return {
      owned: sum((target) => this.countOwned(target)),
      'owned-in-use': sum((target) => this.owned.countInUse(target)),
      lent: sum((target) => this.lent.countLent(target)),
      'borrowed-in-use': sum((target) => this.borrowed.countInUse(target)),
    };
  }

  /** Report that the planner needs before it assigns slots of this VM to another VM. */
  reportShares(region: string): ShareReport {
    const state = this.plans.getState(region);
    if (!isSome(state)) {
      return { planRevision: 0, settled: false, uses: [] };
    }
    const uses = state.value.plan.targets.map((target) => ({
      target,
      slots: this.owned.countInUse(target) + this.lent.countLent(target),
    }));
    return {
      planRevision: state.value.revision,
      settled: this.plans.isSettled(region),
      uses: uses.filter((use) => use.slots > 0),
    };
  }

  private buildPermit(target: string, onRelease: () => void): SlotPermit {
    let isHeld = true;
    const release = (): void => {
      if (isHeld) {
        isHeld = false;
        onRelease();
        this.notifyListeners();
      }
    };
    return { target, release };
  }

  private subscribeToConfiguration(): void {
    const current = this.configuration.getCurrent();
    if (isSome(current)) {
      this.applyConfiguration(current.value.configuration);
    }
    this.configuration.subscribe((accepted) => this.applyConfiguration(accepted.configuration));
  }

  private applyConfiguration(configuration: Configuration): void {
    this.targets = new Map(configuration.targets.map((target) => [target.name, target]));
    this.owned.invalidateIndex();
    this.notifyListeners();
  }

  private subscribeToPlans(replica: Replica): void {
    const prefix = getPlanKey('');
    const apply = (entry: StoreEntry): void => {
      if (this.plans.applyEntry(entry.key.slice(prefix.length), entry)) {
        this.owned.invalidateIndex();
        this.notifyListeners();
      }
    };
    replica.listEntries(prefix).forEach(apply);
    replica.subscribe(prefix, apply);
  }
}
