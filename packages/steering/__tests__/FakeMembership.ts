/**
 * A membership whose members and leaving targets are set by tests.
 */
import type EntryVm from '@burdockcove/types/EntryVm';
import type Member from '@burdockcove/types/Member';
import type Membership from '@burdockcove/types/Membership';

/** Three entry VMs in each of the regions near, middle and far. */
export default class FakeMembership implements Membership {
  private members: readonly Member[] = ['near', 'middle', 'far'].flatMap((region, index) =>
    [1, 2, 3].map((number) => ({
      address: `127.8.${index + 1}.${number}:8080`,
      peerAddress: `127.8.${index + 1}.${number}:8081`,
      region,
      failureDomain: `${region}-${number % 2 === 0 ? 'b' : 'a'}`,
      state: 'live' as const,
      reachable: true,
    })),
  );

  private leavingTargets: readonly string[] = [];

  private readonly listeners = new Set<() => void>();

  getSelf(): EntryVm {
    return this.members[0] as Member;
  }

  getMembers(): readonly Member[] {
    return this.members;
  }

  isTargetLeaving(address: string): boolean {
    return this.leavingTargets.includes(address);
  }

  subscribe(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  setLeavingTarget(address: string): void {
    this.leavingTargets = [...this.leavingTargets, address];
    this.listeners.forEach((listener) => listener());
  }

  /** Updates the member with this address and notifies the listeners. */
  setMember(address: string, change: Partial<Member>): void {
    this.members = this.members.map((each) =>
      each.address === address ? { ...each, ...change } : each,
    );
    this.listeners.forEach((listener) => listener());
  }
}
