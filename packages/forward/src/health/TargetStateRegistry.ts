/**
 * The states of the targets that this entry VM has recently considered.
 */
import type Clock from '@burdockcove/runtime/Clock';
import type Random from '@burdockcove/runtime/Random';
import type Target from '@burdockcove/types/Target';
import TargetState from './TargetState.js';

/** Targets found this soon after their service's first skip the slow start: the entry VM is new, not the targets. */
const INITIAL_DISCOVERY_MS = 5_000;
/** Time without use after which a target's state is removed. */
const UNUSED_STATE_TTL_MS = 600_000;

interface Entry {
  readonly state: TargetState;
  address: string;
  lastUsedAtMs: number;
}

/** Creates a state when a target is first requested; a target that appears later or changes address starts slowly. */
export default class TargetStateRegistry {
  private readonly entries = new Map<string, Entry>();

  /** Monotonic time of each service's first target. */
  private readonly firstSeenAtMs = new Map<string, number>();

  private prunedAtMs = 0;

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  getState(target: Target): TargetState {
    const nowMs = this.clock.getMonotonicMs();
    const known = this.entries.get(target.name);
    if (known !== undefined && known.address === target.address) {
      known.lastUsedAtMs = nowMs;
      return known.state;
    }
    return this.addEntry(target, nowMs);
  }

  private addEntry(target: Target, nowMs: number): TargetState {
    this.removeUnused(nowMs);
    const state = new TargetState(this.random);
    const firstSeenAtMs = this.firstSeenAtMs.get(target.service) ?? nowMs;
    this.firstSeenAtMs.set(target.service, firstSeenAtMs);
    if (nowMs - firstSeenAtMs > INITIAL_DISCOVERY_MS) {
      state.slowStart.start(nowMs);
    }
    this.entries.set(target.name, { state, address: target.address, lastUsedAtMs: nowMs });
    return state;
  }

  private removeUnused(nowMs: number): void {
    if (nowMs - this.prunedAtMs < UNUSED_STATE_TTL_MS) {
      return;
    }
    this.prunedAtMs = nowMs;
    this.entries.forEach((entry, name) => {
      if (nowMs - entry.lastUsedAtMs > UNUSED_STATE_TTL_MS && entry.state.inFlight === 0) {
        this.entries.delete(name);
      }
    });
  }
}
