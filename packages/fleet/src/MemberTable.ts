/**
 * The entry VMs that hold a lease.
 *
 * Fleet-wide limits are divided by the highest recent member count: a VM whose lease just ended may still send requests,
 * and a view with missing members must not raise the share of each VM. A VM that starts while the leases of the others
 * have expired learns the count from a record in the store.
 *
 * When the store has returned from a snapshot, a member may still act on a lease that is lost, whether the snapshot lacks
 * its entry or has it with a lease that ends sooner. Until it has registered again it stays known for as long as that
 * lease may last, and until this VM would know of the new registration.
 */
import murmurhash from 'murmurhash';
import type Clock from '@burdockcove/runtime/Clock';
import type FleetMember from './FleetMember.js';
import type FleetSizeRecord from './FleetSizeRecord.js';
import findLeaders from './findLeaders.js';
import LEASE_MS from './LEASE_MS.js';
import MAX_KNOWLEDGE_AGE_MS from './MAX_KNOWLEDGE_AGE_MS.js';

/** How long a higher member count is kept, in milliseconds; a VM may go on without a lease for as long as an outage. */
const PEAK_RETENTION_MS = 60_000;
const HASH_RANGE = 2 ** 32;
const MAX_CACHED_RANKS = 4096;

/** Always contains this VM. */
export default class MemberTable {
  private readonly members = new Map<string, FleetMember>();

  /** Times at which a return of the store was learned, for the members that have not registered again since. */
  private readonly unconfirmed = new Map<string, number>();

  /** Those of them that have no entry in the store. */
  private readonly missing = new Set<string>();

  private settledAtMs = Infinity;

  /** Time at which the last return of the store was learned. */
  private returnedAtMs = -Infinity;

  private seenPeak = 1;

  private seenPeakAtMs = -Infinity;

  private record: FleetSizeRecord = { size: 0, revision: 0 };

  /** Size that was recorded before the store returned from a snapshot, and until when it counts. */
  private kept = { size: 0, untilMs: -Infinity };

  /** Places of this VM by name, valid until the membership changes. */
  private readonly ranks = new Map<string, number>();

  /** The two members that rank first, by name; valid until the membership changes. */
  private readonly leaders = new Map<string, readonly FleetMember[]>();

  private changes = 0;

  private onChange: () => void = () => undefined;

  constructor(
    private readonly clock: Clock,
    readonly self: FleetMember,
    /** Returns the upper bound of the age of what this VM knows from the store. */
    private readonly getVerifiedAgeMs: () => number = () => 0,
  ) {
    this.members.set(self.name, self);
  }

  putMember(member: FleetMember): void {
    this.unconfirmed.delete(member.name);
    this.missing.delete(member.name);
    this.members.set(member.name, member);
    this.handleChange();
  }

  /** Never removes this VM itself, which is running even if its entry has expired. */
  removeMember(name: string): void {
    this.dropLapsed();
    if (this.unconfirmed.has(name)) {
      this.missing.add(name);
    } else {
      this.deleteMember(name);
    }
  }

  /** `isReturn` is set if the store has returned from a snapshot, which may lack members. */
  replaceMembers(members: readonly FleetMember[], isReturn = false): void {
    const known = this.listMembers().filter(({ name }) => name !== this.self.name);
    this.updatePeak();
    const nowMs = this.clock.getMonotonicMs();
    if (isReturn || this.settledAtMs === Infinity) {
      this.settledAtMs = nowMs + LEASE_MS;
    }
    if (isReturn) {
      this.returnedAtMs = nowMs;
      known.forEach(({ name }) => this.unconfirmed.set(name, nowMs));
    }
    const kept = known.filter(({ name }) => this.unconfirmed.has(name));
    this.members.clear();
    [this.self, ...kept, ...members].forEach((member) => this.members.set(member.name, member));
    const listed = new Set(members.map(({ name }) => name));
    this.missing.clear();
    kept.filter(({ name }) => !listed.has(name)).forEach(({ name }) => this.missing.add(name));
    this.handleChange();
  }

  /** Returns the time, a lease after the last return, from which on no member writes an entry again that was lost. */
  getSettledAtMs(): number {
    return this.settledAtMs;
  }

  /**
   * Whether this VM knows of all members that the store has lost. Until a lease after a return, one of them may act on a
   * registration of which this VM has not heard, and write its entry again without a wait.
   */
  isSettledAfterReturn(): boolean {
    const verifiedAtMs = this.clock.getMonotonicMs() - this.getVerifiedAgeMs();
    return verifiedAtMs >= this.returnedAtMs + LEASE_MS;
  }

  /** Sets the size of the fleet as recorded in the store. */
  setRecord(record: FleetSizeRecord): void {
    this.record = record;
  }

  getRecord(): FleetSizeRecord {
    return this.record;
  }

  /** Keeps the recorded size, which the store may have lost, until this VM has seen the whole fleet again. */
  keepRecordedSize(): void {
    const untilMs = this.clock.getMonotonicMs() + PEAK_RETENTION_MS;
    this.kept = { size: this.getRecordedSize(), untilMs };
  }

  /** Returns the size of the fleet as recorded in the store, also if the store may have lost it lately. */
  getRecordedSize(): number {
    const { size, untilMs } = this.kept;
    return this.clock.getMonotonicMs() < untilMs
      ? Math.max(size, this.record.size)
      : this.record.size;
  }

  /** Sets the only listener, which is called after each change of the membership. */
  setChangeListener(listener: () => void): void {
    this.onChange = listener;
  }

  countMembers(): number {
    return this.members.size;
  }

  /** Returns a number that rises with each change of the membership. */
  countChanges(): number {
    return this.changes;
  }

  /** Returns the two members that rendezvous hashing ranks first for the name; all VMs that know the same agree. */
  rankFirst(name: string): readonly FleetMember[] {
    this.dropLapsed();
    const known = this.leaders.get(name);
    if (known !== undefined) {
      return known;
    }
    const leaders = findLeaders(this.members.values(), name);
    if (this.leaders.size >= MAX_CACHED_RANKS) {
      this.leaders.clear();
    }
    this.leaders.set(name, leaders);
    return leaders;
  }

  listMembers(): readonly FleetMember[] {
    this.dropLapsed();
    return [...this.members.values()];
  }

  /** Returns the highest member count that this VM has seen within `PEAK_RETENTION_MS`. */
  getSeenPeak(): number {
    this.updatePeak();
    return this.seenPeak;
  }

  /** Returns the number by which fleet-wide limits are divided: the highest count seen or recorded. */
  getPeakMemberCount(): number {
    return Math.max(this.getSeenPeak(), this.getRecordedSize());
  }

  /**
   * Whether this VM is among the `count` members that rendezvous hashing selects for the name. If only a part of the
   * fleet is known, the same part of `count` is selected from it.
   */
  isSelected(name: string, count: number): boolean {
    this.dropLapsed();
    const knownShare = this.members.size / this.getPeakMemberCount();
    return this.getRank(name) <= count * knownShare;
  }

  /**
   * Returns this VM's place among the known members for the name, from 0. The fraction decides where a part of a count
   * is no whole number; it orders members as their places do.
   */
  private getRank(name: string): number {
    const known = this.ranks.get(name);
    if (known !== undefined) {
      return known;
    }
    const own = murmurhash.v3(`${this.self.name} ${name}`);
    const others = [...this.members.keys()];
    const higherRanked = others.filter((other) => murmurhash.v3(`${other} ${name}`) > own).length;
    const rank = higherRanked + (1 - own / HASH_RANGE);
    if (this.ranks.size >= MAX_CACHED_RANKS) {
      this.ranks.clear();
    }
    this.ranks.set(name, rank);
    return rank;
  }

  /** Ends the time for which members count as registered although the store may have lost their leases. */
  private dropLapsed(): void {
    if (this.unconfirmed.size === 0) {
      return;
    }
    const nowMs = this.clock.getMonotonicMs();
    const verifiedAtMs = nowMs - this.getVerifiedAgeMs();
    this.unconfirmed.forEach((returnedAtMs, name) => {
      const endsAtMs = returnedAtMs + LEASE_MS;
      if (verifiedAtMs >= endsAtMs || nowMs >= endsAtMs + MAX_KNOWLEDGE_AGE_MS) {
        this.unconfirmed.delete(name);
        if (this.missing.delete(name)) {
          this.deleteMember(name);
        }
      }
    });
  }

  private deleteMember(name: string): void {
    this.updatePeak();
    if (name !== this.self.name) {
      this.members.delete(name);
      this.handleChange();
    }
  }

  private handleChange(): void {
    this.ranks.clear();
    this.leaders.clear();
    this.changes += 1;
    this.updatePeak();
    this.onChange();
  }

  private updatePeak(): void {
    const nowMs = this.clock.getMonotonicMs();
    const { size } = this.members;
    if (size >= this.seenPeak || nowMs - this.seenPeakAtMs > PEAK_RETENTION_MS) {
      this.seenPeak = size;
      this.seenPeakAtMs = nowMs;
    }
  }
}
