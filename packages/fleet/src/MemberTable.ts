/**
 * The entry VMs that hold a lease.
 *
 * Shares of fleet-wide limits are cut by the largest number of members seen of late: a VM whose lease just ended may
 * still act, and a view that is short of members must not raise a share.
 */
import murmurhash from 'murmurhash';
import type Clock from '@burdockcove/runtime/Clock';
import type FleetMember from './FleetMember.js';

/** How long a larger fleet is remembered, in milliseconds. */
const PEAK_RETENTION_MS = 15_000;

/** This VM counts as a member always. */
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

  /** This VM itself stays: it knows best that it runs. */
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

  /** Members to divide a fleet-wide limit by: the most that were known within the last seconds. */
  getPeakMemberCount(): number {
    const nowMs = this.clock.getMonotonicMs();
    const { size } = this.members;
    if (size >= this.peakCount || nowMs - this.peakRecordedAtMs > PEAK_RETENTION_MS) {
      this.peakCount = size;
      this.peakRecordedAtMs = nowMs;
    }
    return this.peakCount;
  }

  /** Whether this VM is among the `count` members that rendezvous hashing picks for the name. */
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
