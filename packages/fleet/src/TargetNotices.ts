/**
 * What targets have told this entry VM of themselves: that they are leaving, or that they want no requests for a time.
 *
 * It holds for the incarnation of the target that said it, whatever its entry in the store says, until a later start of
 * the target is known.
 */
import BoundedMap from '@burdockcove/runtime/BoundedMap';
import type Clock from '@burdockcove/runtime/Clock';
import type TargetRecord from './TargetRecord.js';

const MAX_TRACKED_TARGETS = 4096;

/** Times are in milliseconds. */
interface KnownNotice {
  /** Wall-clock time of the start of the incarnation, as the target reports it. */
  readonly startedAtMs: number;
  /** Monotonic time at which the target first said that it leaves; Infinity if it has not. */
  readonly leavingSinceMs: number;
  /** Monotonic time until which it wants no requests. */
  readonly pausedUntilMs: number;
}

const NOTHING_SAID: KnownNotice = {
  startedAtMs: -Infinity,
  leavingSinceMs: Infinity,
  pausedUntilMs: -Infinity,
};

type Incarnation = Pick<TargetRecord, 'target' | 'startedAtMs'>;

/** Keeps the notices of the targets that spoke last. */
export default class TargetNotices {
  private readonly notices = new BoundedMap<string, KnownNotice>(MAX_TRACKED_TARGETS);

  constructor(private readonly clock: Clock) {}

  hasAny(): boolean {
    return this.notices.size > 0;
  }

  /** Records that the target leaves; returns false if that is known already. */
  recordLeaving(incarnation: Incarnation): boolean {
    const known = this.get(incarnation);
    if (known.leavingSinceMs !== Infinity) {
      return false;
    }
    this.set(incarnation, { ...known, leavingSinceMs: this.clock.getMonotonicMs() });
    return true;
  }

  /** Records that the target wants no requests for the time from now; never shortens an earlier wish. */
  recordPause(incarnation: Incarnation, pauseMs: number): void {
    const known = this.get(incarnation);
    const pausedUntilMs = Math.max(known.pausedUntilMs, this.clock.getMonotonicMs() + pauseMs);
    this.set(incarnation, { ...known, pausedUntilMs });
  }

  /** Forgets that the target leaves if it said so before the monotonic time; returns whether it had. */
  forgetLeaving(incarnation: Incarnation, beforeMs: number): boolean {
    const known = this.get(incarnation);
    if (known.leavingSinceMs >= beforeMs) {
      return false;
    }
    this.set(incarnation, { ...known, leavingSinceMs: Infinity });
    return true;
  }

  /** Whether the target has said that it leaves. */
  isLeaving(incarnation: Incarnation): boolean {
    return this.get(incarnation).leavingSinceMs !== Infinity;
  }

  /** Returns the milliseconds since the target said that it leaves; -Infinity if it has not. */
  getLeavingMs(incarnation: Incarnation): number {
    return this.clock.getMonotonicMs() - this.get(incarnation).leavingSinceMs;
  }

  /** Returns the milliseconds for which the target wants no requests; zero or less if it takes them. */
  getPauseMs(incarnation: Incarnation): number {
    return this.get(incarnation).pausedUntilMs - this.clock.getMonotonicMs();
  }

  private get({ target, startedAtMs }: Incarnation): KnownNotice {
    const known = this.notices.get(target.name);
    return known !== undefined && known.startedAtMs >= startedAtMs ? known : NOTHING_SAID;
  }

  private set({ target, startedAtMs }: Incarnation, notice: KnownNotice): void {
    const latestStartMs = Math.max(startedAtMs, notice.startedAtMs);
    this.notices.set(target.name, { ...notice, startedAtMs: latestStartMs });
  }
}
