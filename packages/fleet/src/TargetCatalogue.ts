/**
 * The targets that this entry VM knows.
 *
 * A target whose entry is removed is normally removed at once. After a store outage, however, many entries may have
 * expired although their targets are running: if a large part of a service is missing, its targets are retained until
 * they had time to register again. If only a few are missing, they left normally, perhaps while only this VM could not
 * reach the store.
 */
import type Clock from '@burdockcove/runtime/Clock';
import type KnownTarget from './KnownTarget.js';
import type TargetRecord from './TargetRecord.js';

/** Time for running targets to register again once the store is available, in milliseconds. */
const REREGISTRATION_GRACE_MS = 2000;

/** Fraction of a service's targets above which missing entries are treated as expired in the outage. */
const MASS_EXPIRY_RATIO = 1 / 3;

const NO_TARGETS: readonly KnownTarget[] = [];

/** Updated by reports; never blocks. */
export default class TargetCatalogue {
  private readonly targets = new Map<string, KnownTarget>();

  private readonly evacuated = new Set<string>();

  private usable: Map<string, KnownTarget[]> | null = null;

  private isStoreUnavailable = false;

  /** Number of targets of each service when the store became available again. */
  private countsAtRecovery = new Map<string, number>();

  /** Number of targets of each service whose entries were missing since then. */
  private readonly missingCounts = new Map<string, number>();

  private graceEndsAtMs = -Infinity;

  private nextExpiryAtMs = Infinity;

  /** `getColdMs` returns how long a target of the service stays cold after its start, in milliseconds. */
  constructor(
    private readonly clock: Clock,
    private readonly getColdMs: (service: string) => number,
  ) {}

  /** Adds a target or updates it from a report. */
  putTarget(record: TargetRecord): void {
    const { name, service } = record.target;
    const known = this.targets.get(name);
    const nowMs = this.clock.getMonotonicMs();
    const isNew = known === undefined || known.startedAtMs !== record.startedAtMs;
    const ageMs = Math.max(0, this.clock.getWallMs() - record.startedAtMs);
    const coldSinceStartMs = isNew ? Math.max(0, this.getColdMs(service) - ageMs) : 0;
    const reportedColdMs = record.coldMs;
    const coldUntilMs = Math.max(
      isNew ? -Infinity : known.coldUntilMs,
      nowMs + Math.max(coldSinceStartMs, reportedColdMs),
    );
    this.targets.set(name, { ...record, coldUntilMs, expiresAtMs: null });
    this.usable = null;
  }

  /** Handles the removal of a target's entry. */
  removeTarget(name: string): void {
    const known = this.targets.get(name);
    if (known === undefined) {
      return;
    }
    this.incrementMissing(known);
    this.removeOrRetain(known);
  }

  /** Replaces all targets; a target that is missing from the list is handled as removed. */
  replaceTargets(records: readonly TargetRecord[]): void {
    const listed = new Set(records.map(({ target }) => target.name));
    const missing = [...this.targets.values()].filter(({ target }) => !listed.has(target.name));
    missing.forEach((known) => this.incrementMissing(known));
    missing.forEach((known) => this.removeOrRetain(known));
    records.forEach((record) => this.putTarget(record));
  }

  /** Records that the store is unavailable. */
  markStoreUnavailable(): void {
    this.isStoreUnavailable = true;
  }

  /** Records that the store is available again and starts the grace period. */
  markStoreAvailable(): void {
    if (this.isStoreUnavailable) {
      this.isStoreUnavailable = false;
      this.missingCounts.clear();
      this.countsAtRecovery = this.countByService();
      this.graceEndsAtMs = this.clock.getMonotonicMs() + REREGISTRATION_GRACE_MS;
    }
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

  private incrementMissing({ target: { service } }: KnownTarget): void {
    this.missingCounts.set(service, (this.missingCounts.get(service) ?? 0) + 1);
  }

  private removeOrRetain(known: KnownTarget): void {
    const { name, service } = known.target;
    if (this.isMassExpiry(service)) {
      this.targets.set(name, { ...known, expiresAtMs: this.graceEndsAtMs });
      this.nextExpiryAtMs = Math.min(this.nextExpiryAtMs, this.graceEndsAtMs);
    } else {
      this.targets.delete(name);
    }
    this.usable = null;
  }

  private isMassExpiry(service: string): boolean {
    const missing = this.missingCounts.get(service) ?? 0;
    const isInGracePeriod = this.clock.getMonotonicMs() < this.graceEndsAtMs;
    return (
      isInGracePeriod && missing > MASS_EXPIRY_RATIO * (this.countsAtRecovery.get(service) ?? 0)
    );
  }

  private countByService(): Map<string, number> {
    const counts = new Map<string, number>();
    this.targets.forEach(({ target }) => {
      counts.set(target.service, (counts.get(target.service) ?? 0) + 1);
    });
    return counts;
  }

  private isUsable({ isLeaving, target }: KnownTarget): boolean {
    return !isLeaving && !this.evacuated.has(target.failureDomain);
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
