/**
 * The targets whose entries the store holds, or held until lately.
 *
 * A target whose entry is removed is removed at once, unless the entry has probably expired in an outage of the store.
 * When the store has returned from a snapshot, targets that the snapshot lacks have time to register again, and what it
 * shows of targets that were known to be leaving or gone holds only once it is written again, or the time for that has
 * passed.
 */
import type Clock from '@burdockcove/runtime/Clock';
import type Target from '@burdockcove/types/Target';
import CatchUp from './CatchUp.js';
import groupByService from './groupByService.js';
import type KnownTarget from './KnownTarget.js';
import MassExpiry from './MassExpiry.js';
import type TargetRecord from './TargetRecord.js';
import TargetStarts from './TargetStarts.js';

function isSameTarget(a: Target, b: Target): boolean {
  const names = Object.keys(a.labels);
  return (
    a.service === b.service &&
    a.address === b.address &&
    a.failureDomain === b.failureDomain &&
    a.slots === b.slots &&
    names.length === Object.keys(b.labels).length &&
    names.every((name) => a.labels[name] === b.labels[name])
  );
}

/** Whether a report says what is known of the target already. One of a cold target says how long it stays cold from now. */
function isRepeated(known: KnownTarget, record: TargetRecord): boolean {
  return (
    record.coldMs === 0 &&
    known.coldMs === 0 &&
    known.expiresAtMs === null &&
    known.startedAtMs === record.startedAtMs &&
    known.isLeaving === record.isLeaving &&
    known.region === record.region &&
    isSameTarget(known.target, record.target)
  );
}

/** Updated by reports; never blocks. */
export default class KnownTargets {
  private readonly targets = new Map<string, KnownTarget>();

  /** Entries in a snapshot of the store that contradict what was known, until they hold. */
  private readonly held = new Map<string, TargetRecord>();

  private readonly massExpiry: MassExpiry;

  private readonly starts: TargetStarts;

  private readonly catchUp: CatchUp;

  private nextExpiryAtMs = Infinity;

  /** `getColdMs` returns how long a target of the service stays cold after its start, in milliseconds. */
  constructor(
    private readonly clock: Clock,
    getColdMs: (service: string) => number,
  ) {
    this.massExpiry = new MassExpiry(clock);
    this.starts = new TargetStarts(clock, getColdMs);
    this.catchUp = new CatchUp(clock);
  }

  get(name: string): KnownTarget | undefined {
    return this.targets.get(name);
  }

  list(): readonly KnownTarget[] {
    return [...this.targets.values()];
  }

  /** Returns the wall-clock time of the last known start of the target, also of one that is gone. */
  getLastStartMs(name: string): number | undefined {
    return this.starts.getLastMs(name);
  }

  /** Adds a target or updates it from a report; returns false if the report says nothing new. */
  put(record: TargetRecord): boolean {
    const { name } = record.target;
    const known = this.targets.get(name);
    const coldUntilMs = this.starts.record(record, known?.coldUntilMs ?? -Infinity);
    const wasHeld = this.held.delete(name);
    this.targets.set(name, { ...record, coldUntilMs, expiresAtMs: null });
    return (
      known === undefined ||
      wasHeld ||
      !isRepeated(known, record) ||
      this.isColder(known, coldUntilMs)
    );
  }

  /** Sets until when a known target is cold. */
  setColdUntil(known: KnownTarget, coldUntilMs: number): void {
    this.targets.set(known.target.name, { ...known, coldUntilMs });
  }

  /** Handles the removal of a target's entry. */
  remove(name: string): void {
    this.held.delete(name);
    const known = this.targets.get(name);
    if (known !== undefined) {
      this.massExpiry.recordMissing(known.target.service);
      this.removeOrRetain(known);
    }
  }

  /**
   * Replaces all targets; one that is missing from the list is handled as removed. `isRestored` tells whether an entry
   * comes from the snapshot that the store has returned from.
   */
  replace(records: readonly TargetRecord[], isRestored: (name: string) => boolean): void {
    this.settle();
    const held = this.catchUp.isRunning()
      ? records.filter((record) => isRestored(record.target.name) && this.contradicts(record))
      : [];
    this.held.clear();
    held.forEach((record) => this.held.set(record.target.name, record));
    const listed = new Set(records.map(({ target }) => target.name));
    const missing = this.list().filter(
      (known) => !listed.has(known.target.name) || this.isRestarted(known),
    );
    missing.forEach(({ target }) => this.massExpiry.recordMissing(target.service));
    missing.forEach((known) => this.handleMissing(known));
    records
      .filter(({ target }) => !this.held.has(target.name))
      .forEach((record) => this.put(record));
    this.starts.recordState();
  }

  markStoreUnavailable(): void {
    this.massExpiry.markStoreUnavailable();
  }

  markStoreAvailable(): void {
    this.massExpiry.markStoreAvailable(() => this.countByService());
  }

  /** Records that the store has returned from a snapshot, which the next list shows. */
  markStoreRestored(): void {
    this.settle();
    this.catchUp.start();
    this.massExpiry.markStoreRestored();
  }

  /** Applies what holds by time alone; returns whether anything has changed. */
  settle(): boolean {
    const isCaughtUp = this.catchUp.finish();
    if (isCaughtUp) {
      [...this.held.values()].forEach((record) => this.put(record));
    }
    const nowMs = this.clock.getMonotonicMs();
    const hasExpired = nowMs >= this.nextExpiryAtMs;
    if (hasExpired) {
      this.removeExpired(nowMs);
    }
    return isCaughtUp || hasExpired;
  }

  /**
   * Whether a restored entry would let a target in that was known as leaving or removed, or that has started again since.
   */
  private contradicts({ target, startedAtMs, isLeaving }: TargetRecord): boolean {
    const lastStartMs = this.starts.getLastMs(target.name);
    if (lastStartMs === undefined || startedAtMs > lastStartMs) {
      return false;
    }
    const known = this.targets.get(target.name);
    const isReverted = known === undefined || startedAtMs < known.startedAtMs;
    return isReverted || (known.isLeaving && !isLeaving);
  }

  /** Whether the entry that is held back is of an earlier start of the target. */
  private isRestarted({ target, startedAtMs }: KnownTarget): boolean {
    return (this.held.get(target.name)?.startedAtMs ?? Infinity) < startedAtMs;
  }

  /** Whether the target is cold for longer than was known. */
  private isColder(known: KnownTarget, coldUntilMs: number): boolean {
    return coldUntilMs > Math.max(known.coldUntilMs, this.clock.getMonotonicMs());
  }

  private handleMissing(known: KnownTarget): void {
    const { restoredUntilMs } = this.massExpiry;
    if (this.clock.getMonotonicMs() < restoredUntilMs) {
      this.retain(known, restoredUntilMs);
    } else {
      this.removeOrRetain(known);
    }
  }

  private removeOrRetain(known: KnownTarget): void {
    if (this.massExpiry.isLikely(known.target.service)) {
      this.retain(known, this.massExpiry.graceEndsAtMs);
    } else {
      this.targets.delete(known.target.name);
    }
  }

  private retain(known: KnownTarget, expiresAtMs: number): void {
    this.targets.set(known.target.name, { ...known, expiresAtMs });
    this.nextExpiryAtMs = Math.min(this.nextExpiryAtMs, expiresAtMs);
  }

  private countByService(): ReadonlyMap<string, number> {
    const groups = groupByService(this.list());
    return new Map([...groups].map(([service, targets]) => [service, targets.length]));
  }

  private removeExpired(nowMs: number): void {
    this.nextExpiryAtMs = Infinity;
    this.list().forEach(({ target, expiresAtMs }) => {
      if (expiresAtMs === null) {
        return;
      }
      if (expiresAtMs <= nowMs) {
        this.targets.delete(target.name);
      } else {
        this.nextExpiryAtMs = Math.min(this.nextExpiryAtMs, expiresAtMs);
      }
    });
  }
}
