/**
 * The plans as this entry VM applies them.
 *
 * After a start or a long pause, the replica may show a plan that is older than one an earlier
 * process at the same address already confirmed to the planner. Owned slots are therefore used only
 * after this process has read the plan directly from the store. An earlier process may also have
 * left requests in flight and loans; the process waits for the longest possible duration of these,
 * unless the VM owned no slots when it started.
 */
import { isSome, none, some, type Option } from 'fp-ts/lib/Option.js';
import type Clock from '@burdockcove/runtime/Clock';
import type StoreEntry from '@burdockcove/store/StoreEntry';
import type PlanState from './PlanState.js';
import type ShareTiming from './ShareTiming.js';
import computeDriftSafeWaitMs from './computeDriftSafeWaitMs.js';
import parseRegionPlan from './parseRegionPlan.js';

/** Applies plans in order of their revisions. */
export default class PlanTracker {
  private readonly states = new Map<string, PlanState>();

  /**
   * Monotonic time from which a region's slots may be used; absent until the plan has been read
   * from the store.
   */
  private readonly usableFromMs = new Map<string, number>();

  private readonly confirmedRegions = new Set<string>();

  private readonly startedAtMs: number;

  private lastRunningAtMs: number;

  constructor(
    private readonly clock: Clock,
    private readonly address: string,
    private readonly timing: ShareTiming,
    /** Longest time a request may be in flight under the current configuration, in milliseconds. */
    private readonly getMaxHoldMs: () => number,
  ) {
    this.startedAtMs = clock.getMonotonicMs();
    this.lastRunningAtMs = this.startedAtMs;
  }

  /**
   * Applies a plan received through the replica and returns whether it did; plans that are not
   * newer are ignored.
   */
  applyEntry(region: string, entry: StoreEntry): boolean {
    const known = this.states.get(region);
    const plan = parseRegionPlan(entry.value);
    if (!isSome(plan) || (known !== undefined && known.revision >= entry.revision)) {
      return false;
    }
    const rowIndex = plan.value.rows.findIndex((row) => row.address === this.address);
    this.states.set(region, { revision: entry.revision, plan: plan.value, rowIndex });
    return true;
  }

  /** Applies a plan that this process read from the store; from then on its slots may be used. */
  confirmEntry(region: string, entry: Option<StoreEntry>): void {
    const isOwner = isSome(entry) && this.hasOwnRow(entry.value);
    if (isSome(entry)) {
      this.applyEntry(region, entry.value);
    }
    if (!this.usableFromMs.has(region)) {
      this.usableFromMs.set(region, isOwner ? this.computeUsableFromMs(region) : this.startedAtMs);
    }
    this.confirmedRegions.add(region);
  }

  /**
   * Regions whose plan still has to be read from the store: this VM's own region and those whose
   * plan has a row for this VM.
   */
  listUnconfirmed(ownRegion: string): readonly string[] {
    this.detectPause();
    const names = new Set([ownRegion, ...this.listOwnRegions()]);
    return [...names].filter((region) => !this.confirmedRegions.has(region));
  }

  /**
   * Records that the process is running. After too long a pause, all plans have to be read from the
   * store again.
   */
  detectPause(): void {
    const nowMs = this.clock.getMonotonicMs();
    if (nowMs - this.lastRunningAtMs > this.timing.maxPauseMs) {
      this.confirmedRegions.clear();
    }
    this.lastRunningAtMs = nowMs;
  }

  /** Whether owned slots of the region may be used. */
  isSettled(region: string): boolean {
    this.detectPause();
    const usableFromMs = this.usableFromMs.get(region);
    return (
      this.confirmedRegions.has(region) &&
      usableFromMs !== undefined &&
      this.clock.getMonotonicMs() >= usableFromMs
    );
  }

  /** Regions whose plan has a row for this VM. */
  listOwnRegions(): readonly string[] {
    return this.listRegions().filter((region) => (this.states.get(region)?.rowIndex ?? -1) >= 0);
  }

  listRegions(): readonly string[] {
    return [...this.states.keys()];
  }

  getState(region: string): Option<PlanState> {
    const state = this.states.get(region);
    return state === undefined ? none : some(state);
  }

  private hasOwnRow(entry: StoreEntry): boolean {
    const plan = parseRegionPlan(entry.value);
    return !isSome(plan) || plan.value.rows.some((row) => row.address === this.address);
  }

  private computeUsableFromMs(region: string): number {
    const state = this.states.get(region);
    const plannedHoldMs = (state?.plan.longestDeadlineMs ?? 0) + this.timing.marginMs;
    const holdMs = Math.max(this.getMaxHoldMs(), plannedHoldMs);
    return this.startedAtMs + computeDriftSafeWaitMs(this.timing.loanTermMs + holdMs, this.timing);
  }
}
