/**
 * The targets that this entry VM knows.
 *
 * A target whose entry is removed is removed at once, unless the entry has probably expired in an outage of the store.
 */
import type Clock from '@burdockcove/runtime/Clock';
import BoundedMap from '@burdockcove/runtime/BoundedMap';
import type Target from '@burdockcove/types/Target';
import type KnownTarget from './KnownTarget.js';
import MassExpiry from './MassExpiry.js';
import TargetNotices from './TargetNotices.js';
import type TargetRecord from './TargetRecord.js';

const MAX_TRACKED_TARGETS = 4096;
/** The time of day may jump by seconds. */
const MAX_CLOCK_ERROR_MS = 15_000;
const NO_TARGETS: readonly KnownTarget[] = [];

/** Updated by reports; never blocks. */
export default class TargetCatalogue {
  private readonly targets = new Map<string, KnownTarget>();

  private readonly evacuated = new Set<string>();

  private usable: Map<string, KnownTarget[]> | null = null;

  /** Whether the targets of the store have been listed; a target that appears from then on is new. */
  private hasState = false;

  private readonly massExpiry: MassExpiry;

  private nextExpiryAtMs = Infinity;

  private readonly notices: TargetNotices;

  /** Start of the latest incarnation of each target, also of those that are gone. */
  private readonly lastStarts = new BoundedMap<string, number>(MAX_TRACKED_TARGETS);

  /** `getColdMs` returns how long a target of the service stays cold after its start, in milliseconds. */
  constructor(
    private readonly clock: Clock,
    private readonly getColdMs: (service: string) => number,
  ) {
    this.massExpiry = new MassExpiry(clock);
    this.notices = new TargetNotices(clock);
  }

  /** Adds a target or updates it from a report. */
  putTarget(record: TargetRecord): void {
    const { name, service } = record.target;
    const known = this.targets.get(name);
    const nowMs = this.clock.getMonotonicMs();
    const isNew = this.lastStarts.get(name) !== record.startedAtMs;
    const coldSinceStartMs = isNew && this.mayHaveStarted(record) ? this.getColdMs(service) : 0;
    const coldUntilMs = Math.max(
      isNew ? -Infinity : (known?.coldUntilMs ?? -Infinity),
      nowMs + Math.max(coldSinceStartMs, record.coldMs),
    );
    this.targets.set(name, { ...record, coldUntilMs, expiresAtMs: null });
    this.lastStarts.set(name, record.startedAtMs);
    this.usable = null;
  }

  /** Handles the removal of a target's entry. */
  removeTarget(name: string): void {
    const known = this.targets.get(name);
    if (known === undefined) {
      return;
    }
    this.massExpiry.recordMissing(known.target.service);
    this.removeOrRetain(known);
  }

  /** Replaces all targets; a target that is missing from the list is handled as removed. */
  replaceTargets(records: readonly TargetRecord[]): void {
    const listed = new Set(records.map(({ target }) => target.name));
    const missing = [...this.targets.values()].filter(({ target }) => !listed.has(target.name));
    missing.forEach(({ target }) => this.massExpiry.recordMissing(target.service));
    missing.forEach((known) => this.removeOrRetain(known));
    records.forEach((record) => this.putTarget(record));
    this.hasState = true;
  }

  /** Records that the store is unavailable. */
  markStoreUnavailable(): void {
    this.massExpiry.markStoreUnavailable();
  }

  /** Records that the store is available again. */
  markStoreAvailable(): void {
    this.massExpiry.markStoreAvailable(() => this.countByService());
  }

  /** Stops or resumes new requests to a failure domain; its targets are marked cold when requests resume. */
  setEvacuated(failureDomain: string, isEvacuated: boolean): void {
    if (isEvacuated === this.evacuated.has(failureDomain)) {
      return;
    }
    if (isEvacuated) {
      this.evacuated.add(failureDomain);
    } else {
      this.evacuated.delete(failureDomain);
      this.markDomainCold(failureDomain);
    }
    this.usable = null;
  }

  /** Returns the failure domains that currently get no new requests. */
  listEvacuated(): readonly string[] {
    return [...this.evacuated];
  }

  /** Marks the target as cold from now on. */
  markCold(name: string): void {
    const known = this.targets.get(name);
    if (known !== undefined) {
      const coldUntilMs = this.clock.getMonotonicMs() + this.getColdMs(known.target.service);
      this.targets.set(name, { ...known, coldUntilMs: Math.max(coldUntilMs, known.coldUntilMs) });
      this.usable = null;
    }
  }

  /**
   * Sets the cold time that the target itself has told, in milliseconds from now; zero if it is warm. Returns whether
   * the target counts as cold from now on although it did not before, or no longer does.
   */
  setColdMs(name: string, coldMs: number): boolean {
    const known = this.targets.get(name);
    if (known === undefined) {
      return false;
    }
    const nowMs = this.clock.getMonotonicMs();
    const wasCold = known.coldUntilMs > nowMs;
    const isCold = coldMs > 0;
    if (wasCold || isCold) {
      this.targets.set(name, { ...known, coldUntilMs: nowMs + coldMs });
      this.usable = null;
    }
    return wasCold !== isCold;
  }

  /** Records that the target itself says that it leaves; returns whether that is news. */
  recordLeaving(target: Target, isLeaving: boolean): boolean {
    const isNews = isLeaving && this.notices.recordLeaving(this.findIncarnation(target));
    if (isNews) {
      this.usable = null;
    }
    return isNews;
  }

  /** Records that the target wants no requests from this VM for the time, in milliseconds. */
  recordPause(target: Target, pauseMs: number): void {
    this.notices.recordPause(this.findIncarnation(target), pauseMs);
  }

  /** Forgets that the target leaves, because it has not said so in response to a check sent at the monotonic time. */
  forgetLeaving(name: string, sentAtMs: number): void {
    const known = this.targets.get(name);
    if (known !== undefined && this.notices.forgetLeaving(known, sentAtMs)) {
      this.usable = null;
    }
  }

  /** Returns the targets of the service that are leaving by their own word alone, for at least the given time. */
  listDeparted(service: string, minLeavingMs: number): readonly KnownTarget[] {
    return [...this.targets.values()].filter(
      (known) =>
        known.target.service === service &&
        !known.isLeaving &&
        this.notices.getLeavingMs(known) >= minLeavingMs,
    );
  }

  /** Whether any target has said something of itself. */
  hasNotices(): boolean {
    return this.notices.hasAny();
  }

  /** Returns the milliseconds for which the target has asked for a pause; zero or less if it takes requests. */
  getPauseMs(known: KnownTarget): number {
    return this.notices.getPauseMs(known);
  }

  /** Returns the targets of the service that may get new requests. */
  listUsable(service: string): readonly KnownTarget[] {
    this.removeExpired();
    this.usable ??= this.buildUsable();
    return this.usable.get(service) ?? NO_TARGETS;
  }

  /** Returns the target if it may get new requests now. */
  findUsable(name: string): KnownTarget | undefined {
    this.removeExpired();
    const known = this.targets.get(name);
    return known !== undefined && this.isUsable(known) ? known : undefined;
  }

  private removeOrRetain(known: KnownTarget): void {
    const { name, service } = known.target;
    if (this.massExpiry.isLikely(service)) {
      const { graceEndsAtMs: expiresAtMs } = this.massExpiry;
      this.targets.set(name, { ...known, expiresAtMs });
      this.nextExpiryAtMs = Math.min(this.nextExpiryAtMs, expiresAtMs);
    } else {
      this.targets.delete(name);
    }
    this.usable = null;
  }

  private countByService(): Map<string, number> {
    const counts = new Map<string, number>();
    this.targets.forEach(({ target }) => {
      counts.set(target.service, (counts.get(target.service) ?? 0) + 1);
    });
    return counts;
  }

  /**
   * Whether a target that was not known before may have just started: it has appeared while the store is followed, and
   * the time of day does not say, by more than it may be off, that it is old. Its entry may have lapsed in an outage.
   */
  private mayHaveStarted({ startedAtMs, target }: TargetRecord): boolean {
    const ageMs = this.clock.getWallMs() - startedAtMs;
    return this.hasState && ageMs < this.getColdMs(target.service) + MAX_CLOCK_ERROR_MS;
  }

  private findIncarnation(target: Target): Pick<KnownTarget, 'target' | 'startedAtMs'> {
    return { target, startedAtMs: this.lastStarts.get(target.name) ?? 0 };
  }

  private isUsable(known: KnownTarget): boolean {
    const isLeaving = known.isLeaving || this.notices.isLeaving(known);
    return !isLeaving && !this.evacuated.has(known.target.failureDomain);
  }

  private buildUsable(): Map<string, KnownTarget[]> {
    const usable = new Map<string, KnownTarget[]>();
    [...this.targets.values()]
      .filter((known) => this.isUsable(known))
      .forEach((known) => {
        const { service } = known.target;
        const others = usable.get(service);
        if (others === undefined) {
          usable.set(service, [known]);
        } else {
          others.push(known);
        }
      });
    return usable;
  }

  private markDomainCold(failureDomain: string): void {
    [...this.targets.values()]
      .filter(({ target }) => target.failureDomain === failureDomain)
      .forEach(({ target }) => this.markCold(target.name));
  }

  private removeExpired(): void {
    const nowMs = this.clock.getMonotonicMs();
    if (nowMs < this.nextExpiryAtMs) {
      return;
    }
    this.nextExpiryAtMs = Infinity;
    [...this.targets.values()].forEach(({ target, expiresAtMs }) => {
      if (expiresAtMs === null) {
        return;
      }
      if (expiresAtMs <= nowMs) {
        this.targets.delete(target.name);
      } else {
        this.nextExpiryAtMs = Math.min(this.nextExpiryAtMs, expiresAtMs);
      }
    });
    this.usable = null;
  }
}
