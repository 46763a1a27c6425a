/**
 * The targets that this entry VM believes in.
 *
 * An entry that is removed is gone at once. After an outage of the store, though, many entries may have lapsed
 * although their targets live: where a large part of a service is missing, it is kept until it had time to register
 * again. A few that are missing left in the ordinary way, perhaps while only this VM could not reach the store.
 */
import type Clock from '@burdockcove/runtime/Clock';
import type KnownTarget from './KnownTarget.js';
import type TargetRecord from './TargetRecord.js';

/** Time in which living targets register again after the store's return, in milliseconds. */
const REREGISTRATION_GRACE_MS = 2000;

/** Part of a service's targets beyond which missing entries count as lapsed. */
const MASS_EXPIRY_RATIO = 1 / 3;

const NO_TARGETS: readonly KnownTarget[] = [];

/** Kept current by reports; never blocks. */
export default class TargetCatalogue {
  private readonly targets = new Map<string, KnownTarget>();

  private readonly evacuated = new Set<string>();

  private usable: Map<string, KnownTarget[]> | null = null;

  private isStoreUnavailable = false;

  /** Targets of each service at the store's return. */
  private countsAtRecovery = new Map<string, number>();

  /** Targets of each service whose entries were found missing since. */
  private readonly missingCounts = new Map<string, number>();

  private graceEndsAtMs = -Infinity;

  private nextExpiryAtMs = Infinity;

  /** `getColdMs` tells how long a target of the service stays cold after its start. */
  constructor(
    private readonly clock: Clock,
    private readonly getColdMs: (service: string) => number,
  ) {}

  /** Takes a target's report. */
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

  /** Takes the word that a target's entry was removed. */
  removeTarget(name: string): void {
    const known = this.targets.get(name);
    if (known === undefined) {
      return;
    }
    this.incrementMissing(known);
    this.removeOrRetain(known);
  }

  /** Takes the whole list; a target that is missing counts as removed. */
  replaceTargets(records: readonly TargetRecord[]): void {
    const listed = new Set(records.map(({ target }) => target.name));
    const missing = [...this.targets.values()].filter(({ target }) => !listed.has(target.name));
    missing.forEach((known) => this.incrementMissing(known));
    missing.forEach((known) => this.removeOrRetain(known));
    records.forEach((record) => this.putTarget(record));
  }

  /** Records that the store cannot be reached. */
  markStoreUnavailable(): void {
    this.isStoreUnavailable = true;
  }

  /** Records that the store answers again. */
  markStoreAvailable(): void {
    if (this.isStoreUnavailable) {
      this.isStoreUnavailable = false;
      this.missingCounts.clear();
      this.countsAtRecovery = this.countByService();
      this.graceEndsAtMs = this.clock.getMonotonicMs() + REREGISTRATION_GRACE_MS;
    }
  }

  /** Takes new work away from a failure domain, or gives it back; its targets may be cold by then. */
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

  /** Failure domains that take no new work now. */
  listEvacuated(): readonly string[] {
    return [...this.evacuated];
  }

  /** Records that the target may be cold from now on. */
  markCold(name: string): void {
    const known = this.targets.get(name);
    if (known !== undefined) {
      const coldUntilMs = this.clock.getMonotonicMs() + this.getColdMs(known.target.service);
      this.targets.set(name, { ...known, coldUntilMs: Math.max(coldUntilMs, known.coldUntilMs) });
      this.usable = null;
    }
  }

  /** Targets of the service that may get new work. */
  listUsable(service: string): readonly KnownTarget[] {
    this.removeExpired();
    this.usable ??= this.buildUsable();
    return this.usable.get(service) ?? NO_TARGETS;
  }

  /** The target, where it may get new work now. */
  findUsable(name: string): KnownTarget | undefined {
    this.removeExpired();
    const known = this.targets.get(name);
    return known !== undefined && this.isUsable(known) ? known : undefined;
  }

  private incrementMissing({ target: { service } }: KnownTarget): void {
    this.missingCounts.set(service, (this.missing.get(service) ?? 0) + 1);
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
    return isInGracePeriod && missing > MASS_EXPIRY_RATIO * (this.countsAtRecovery.get(service) ?? 0);
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
