/**
 * The targets that this entry VM has had to do with.
 */
import type Clock from '@burdockcove/runtime/Clock';
import type Random from '@burdockcove/runtime/Random';
import type Target from '@burdockcove/types/Target';
import TargetState from './TargetState.js';

/** Targets first seen this soon after a service's first are taken for warm: the VM is new, not they. */
const KNOWN_WITHIN_MS = 5_000;
/** What is known of a target not looked at for this long is forgotten. */
const FORGET_MS = 600_000;

interface Entry {
  readonly state: TargetState;
  address: string;
  lookedAtMs: number;
}

/** Creates a state at first sight; a target that appears later, or moves, starts slowly. */
export default class TargetBook {
  private readonly entries = new Map<string, Entry>();

  private readonly firstSeenMs = new Map<string, number>();

  private prunedMs = 0;

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  getState(target: Target): TargetState {
    const nowMs = this.clock.getMonotonicMs();
    const known = this.entries.get(target.name);
    if (known !== undefined && known.address === target.address) {
      known.lookedAtMs = nowMs;
      return known.state;
    }
    return this.addEntry(target, nowMs);
  }

  private addEntry(target: Target, nowMs: number): TargetState {
    this.removeForgotten(nowMs);
    const state = new TargetState(this.random);
    const firstMs = this.firstSeenMs.get(target.service) ?? nowMs;
    this.firstSeenMs.set(target.service, firstMs);
    if (nowMs - firstMs > KNOWN_WITHIN_MS) {
      state.slowStart.start(nowMs);
    }
    this.entries.set(target.name, { state, address: target.address, lookedAtMs: nowMs });
    return state;
  }

  private removeForgotten(nowMs: number): void {
    if (nowMs - this.prunedMs < FORGET_MS) {
      return;
    }
    this.prunedMs = nowMs;
    this.entries.forEach((entry, name) => {
      if (nowMs - entry.lookedAtMs > FORGET_MS && entry.state.inFlight === 0) {
        this.entries.delete(name);
      }
    });
  }
}
