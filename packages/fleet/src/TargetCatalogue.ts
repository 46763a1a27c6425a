/**
 * The targets that this entry VM knows.
 *
 * Targets are known from their entries in the store (`KnownTargets`) and from what they say of themselves. Those that are
 * leaving, and those of failure domains that the operators have evacuated, get no new requests.
 */
import type Clock from '@burdockcove/runtime/Clock';
import type Target from '@burdockcove/types/Target';
import EvacuatedDomains from './EvacuatedDomains.js';
import groupByService from './groupByService.js';
import type KnownTarget from './KnownTarget.js';
import KnownTargets from './KnownTargets.js';
import TargetNotices from './TargetNotices.js';
import type TargetRecord from './TargetRecord.js';

const NO_TARGETS: readonly KnownTarget[] = [];

/** Updated by reports; never blocks. */
export default class TargetCatalogue {
  private readonly targets: KnownTargets;

  private readonly evacuated: EvacuatedDomains;

  private usable: Map<string, KnownTarget[]> | null = null;

  private readonly notices: TargetNotices;

  /** `getColdMs` returns how long a target of the service stays cold after its start, in milliseconds. */
  constructor(
    private readonly clock: Clock,
    private readonly getColdMs: (service: string) => number,
  ) {
    this.targets = new KnownTargets(clock, getColdMs);
    this.evacuated = new EvacuatedDomains(clock);
    this.notices = new TargetNotices(clock);
  }

  /** Adds a target or updates it from a report; returns false if the report says nothing new. */
  putTarget(record: TargetRecord): boolean {
    const isNews = this.targets.put(record);
    if (isNews) {
      this.usable = null;
    }
    return isNews;
  }

  /** Handles the removal of a target's entry. */
  removeTarget(name: string): void {
    this.targets.remove(name);
    this.usable = null;
  }

  /**
   * Replaces all targets; a target that is missing from the list is handled as removed. `isRestored` tells whether an
   * entry comes from the snapshot that the store has returned from.
   */
  replaceTargets(
    records: readonly TargetRecord[],
    isRestored: (name: string) => boolean = () => false,
  ): void {
    this.targets.replace(records, isRestored);
    this.usable = null;
  }

  /** Records that the store is unavailable. */
  markStoreUnavailable(): void {
    this.targets.markStoreUnavailable();
  }

  /** Records that the store is available again. */
  markStoreAvailable(): void {
    this.targets.markStoreAvailable();
  }

  /** Records that the store has returned from a snapshot, which the next list shows. */
  markStoreRestored(): void {
    this.targets.markStoreRestored();
  }

  /** Stops or resumes new requests to a failure domain; its targets are marked cold when requests resume. */
  setEvacuated(failureDomain: string, isEvacuated: boolean): void {
    if (!this.evacuated.set(failureDomain, isEvacuated)) {
      return;
    }
    if (!isEvacuated) {
      this.markDomainCold(failureDomain);
    }
    this.usable = null;
  }

  /**
   * Replaces the failure domains that get no new requests; returns those that changed. `isReturn` is set if the store has
   * returned from a snapshot, which may lack evacuations.
   */
  replaceEvacuated(failureDomains: ReadonlySet<string>, isReturn: boolean): readonly string[] {
    const begun = [...failureDomains].filter((domain) => !this.evacuated.has(domain));
    const ended = this.evacuated.listEnded(failureDomains, isReturn);
    failureDomains.forEach((domain) => this.setEvacuated(domain, true));
    ended.forEach((domain) => this.setEvacuated(domain, false));
    return [...begun, ...ended];
  }

  /** Returns the failure domains that currently get no new requests. */
  listEvacuated(): readonly string[] {
    this.settle();
    return this.evacuated.list();
  }

  /** Marks the target as cold from now on. */
  markCold(name: string): void {
    const known = this.targets.get(name);
    if (known !== undefined) {
      const coldUntilMs = this.clock.getMonotonicMs() + this.getColdMs(known.target.service);
      this.targets.setColdUntil(known, Math.max(coldUntilMs, known.coldUntilMs));
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
      this.targets.setColdUntil(known, nowMs + coldMs);
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
    return this.targets
      .list()
      .filter(
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
    this.settle();
    this.usable ??= this.buildUsable();
    return this.usable.get(service) ?? NO_TARGETS;
  }

  /** Returns the targets of the service, usable or not, without applying what holds by time alone. */
  listKnown(service: string): readonly KnownTarget[] {
    const nowMs = this.clock.getMonotonicMs();
    return this.targets
      .list()
      .filter(
        ({ target, expiresAtMs }) =>
          target.service === service && (expiresAtMs === null || expiresAtMs > nowMs),
      );
  }

  /** Returns why the target gets no new requests; undefined if it may get them. */
  findExclusion(known: KnownTarget): 'leaving' | 'leaving-notice' | 'evacuated' | undefined {
    if (known.isLeaving) {
      return 'leaving';
    }
    if (this.notices.isLeaving(known)) {
      return 'leaving-notice';
    }
    return this.evacuated.has(known.target.failureDomain) ? 'evacuated' : undefined;
  }

  /** Returns the target if it may get new requests now. */
  findUsable(name: string): KnownTarget | undefined {
    this.settle();
    const known = this.targets.get(name);
    return known !== undefined && this.isUsable(known) ? known : undefined;
  }

  private findIncarnation(target: Target): Pick<KnownTarget, 'target' | 'startedAtMs'> {
    return { target, startedAtMs: this.targets.getLastStartMs(target.name) ?? 0 };
  }

  private isUsable(known: KnownTarget): boolean {
    return this.findExclusion(known) === undefined;
  }

  private buildUsable(): Map<string, KnownTarget[]> {
    return groupByService(this.targets.list().filter((known) => this.isUsable(known)));
  }

  private markDomainCold(failureDomain: string): void {
    this.targets
      .list()
      .filter(({ target }) => target.failureDomain === failureDomain)
      .forEach(({ target }) => this.markCold(target.name));
  }

  /** Applies what holds by time alone. */
  private settle(): void {
    this.evacuated.takeLapsed().forEach((domain) => this.setEvacuated(domain, false));
    if (this.targets.settle()) {
      this.usable = null;
    }
  }
}
