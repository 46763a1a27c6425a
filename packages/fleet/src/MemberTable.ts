/**
 * The entry VMs that hold a lease.
 *
 * Fleet-wide limits are divided by the highest recent member count: a VM whose lease just ended may still send requests,
 * and a view with missing members must not raise the share of each VM.
 */
import murmurhash from 'murmurhash';
import type Clock from '@burdockcove/runtime/Clock';
import type FleetMember from './FleetMember.js';

/** How long a higher member count is kept, in milliseconds. */
const PEAK_RETENTION_MS = 15_000;

/** Always contains this VM. */
export default class MemberTable {
  private readonly members = new Map<string, FleetMember>();

  private peakCount = 1;

  private peakRecordedAtMs = -Infinity;

  constructor(
    private readonly clock: Clock,
    readonly self: FleetMember,
  ) {
    this.members.set(self.name, self);
  }

  putMember(member: FleetMember): void {
    this.members.set(member.name, member);
    this.getPeakMemberCount();
  }

  /** Never removes this VM itself, which is running even if its entry has expired. */
  removeMember(name: string): void {
    this.getPeakMemberCount();
    if (name !== this.self.name) {
      this.members.delete(name);
    }
  }

  replaceMembers(members: readonly FleetMember[]): void {
    this.getPeakMemberCount();
    this.members.clear();
    this.members.set(this.self.name, this.self);
    members.forEach((member) => this.putMember(member));
  }

  listMembers(): readonly FleetMember[] {
    return [...this.members.values()];
  }

  /** Returns the number by which fleet-wide limits are divided: the highest member count within `PEAK_RETENTION_MS`. */
  getPeakMemberCount(): number {
    const nowMs = this.clock.getMonotonicMs();
    const { size } = this.members;
    if (size >= this.peakCount || nowMs - this.peakRecordedAtMs > PEAK_RETENTION_MS) {
      this.peakCount = size;
      this.peakRecordedAtMs = nowMs;
    }
    return this.peakCount;
  }

  /** Whether this VM is among the `count` members that rendezvous hashing selects for the name. */
  isSelected(name: string, count: number): boolean {
    const own = murmurhash.v3(`${this.self.name} ${name}`);
    let higherRanked = 0;
    this.members.forEach((member) => {
      const isHigherRanked = murmurhash.v3(`${member.name} ${name}`) > own;
      higherRanked += isHigherRanked ? 1 : 0;
    });
    return higherRanked < count;
  }
}
