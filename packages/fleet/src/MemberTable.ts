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
const REMEMBER_MS = 15_000;

/** This VM counts as a member always. */
export default class MemberTable {
  private readonly members = new Map<string, FleetMember>();

  private peak = 1;

  private peakAtMs = -Infinity;

  constructor(
    private readonly clock: Clock,
    readonly self: FleetMember,
  ) {
    this.members.set(self.name, self);
  }

  putMember(member: FleetMember): void {
    this.members.set(member.name, member);
    this.countForShares();
  }

  /** This VM itself stays: it knows best that it runs. */
  removeMember(name: string): void {
    this.countForShares();
    if (name !== this.self.name) {
      this.members.delete(name);
    }
  }

  replaceMembers(members: readonly FleetMember[]): void {
    this.countForShares();
    this.members.clear();
    this.members.set(this.self.name, this.self);
    members.forEach((member) => this.putMember(member));
  }

  listMembers(): readonly FleetMember[] {
    return [...this.members.values()];
  }

  /** Members to divide a fleet-wide limit by: the most that were known within the last seconds. */
  countForShares(): number {
    const nowMs = this.clock.getMonotonicMs();
    const { size } = this.members;
    if (size >= this.peak || nowMs - this.peakAtMs > REMEMBER_MS) {
      this.peak = size;
      this.peakAtMs = nowMs;
    }
    return this.peak;
  }

  /** Whether this VM is among the `count` members that rendezvous hashing picks for the name. */
  isPicked(name: string, count: number): boolean {
    const own = murmurhash.v3(`${this.self.name} ${name}`);
    let ahead = 0;
    this.members.forEach((member) => {
      const isAhead = murmurhash.v3(`${member.name} ${name}`) > own;
      ahead += isAhead ? 1 : 0;
    });
    return ahead < count;
  }
}
