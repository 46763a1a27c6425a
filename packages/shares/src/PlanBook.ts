/**
 * The plans as this entry VM applies them.
 *
 * A process that starts, or that did not run for a while, may see a plan older than one that an
 * earlier process at its address already confirmed to the planner. So it uses owned slots only
 * after it read the plan from the store itself. An earlier process may also have left requests and
 * loans behind; their longest time is waited out, unless the VM owned nothing when it started.
 */
import { isSome, none, some, type Option } from 'fp-ts/lib/Option.js';
import type Clock from '@burdockcove/runtime/Clock';
import type StoreEntry from '@burdockcove/store/StoreEntry';
import type PlanState from './PlanState.js';
import type ShareTiming from './ShareTiming.js';
import computeWaitMs from './computeWaitMs.js';
import parseRegionPlan from './parseRegionPlan.js';

/** Applies plans in the order of their revisions. */
export default class PlanBook {
  private readonly states = new Map<string, PlanState>();

  /** Monotonic time from which the slots of a region may be used; absent until the plan was read from the store. */
  private readonly opensAtMs = new Map<string, number>();

  private readonly verified = new Set<string>();

  private readonly startedMs: number;

  private ranAtMs: number;

  constructor(
    private readonly clock: Clock,
    private readonly address: string,
    private readonly timing: ShareTiming,
    /** Longest time a request may stay in flight, by the configuration in force, in milliseconds. */
    private readonly getHoldMs: () => number,
  ) {
    this.startedMs = clock.getMonotonicMs();
    this.ranAtMs = this.startedMs;
  }

  /** Applies a plan learned from the replica; older ones change nothing. */
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

  /** Applies the plan as read from the store by this process; from then on its slots may be used. */
  confirmEntry(region: string, entry: Option<StoreEntry>): void {
    const own = isSome(entry) && this.hasRow(entry.value);
    if (isSome(entry)) {
      this.applyEntry(region, entry.value);
    }
    if (!this.opensAtMs.has(region)) {
      this.opensAtMs.set(region, own ? this.computeOpensAtMs(region) : this.startedMs);
    }
    this.verified.add(region);
  }

  /** Regions whose plan has a row for this VM, or is its own region's, and still has to be read from the store. */
  listUnconfirmed(ownRegion: string): readonly string[] {
    this.noteRunning();
    const names = new Set([ownRegion, ...this.listOwnRegions()]);
    return [...names].filter((region) => !this.verified.has(region));
  }

  /** Notes that the process runs; after too long a gap the plans count as unread. */
  noteRunning(): void {
    const nowMs = this.clock.getMonotonicMs();
    if (nowMs - this.ranAtMs > this.timing.pauseLimitMs) {
      this.verified.clear();
    }
    this.ranAtMs = nowMs;
  }

  /** True once owned slots of the region may be used. */
  isSettled(region: string): boolean {
    this.noteRunning();
    const opensAtMs = this.opensAtMs.get(region);
    return (
      this.verified.has(region) &&
      opensAtMs !== undefined &&
      this.clock.getMonotonicMs() >= opensAtMs
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

  private hasRow(entry: StoreEntry): boolean {
    const plan = parseRegionPlan(entry.value);
    return !isSome(plan) || plan.value.rows.some((row) => row.address === this.address);
  }

  private computeOpensAtMs(region: string): number {
    const state = this.states.get(region);
    const longestMs = (state?.plan.longestDeadlineMs ?? 0) + this.timing.marginMs;
    const holdMs = Math.max(this.getHoldMs(), longestMs);
    return this.startedMs + computeWaitMs(this.timing.termMs + holdMs, this.timing);
  }
}
