/**
 * A membership whose members are handed to it by the fleet.
 */
import type EntryVm from '@burdockcove/types/EntryVm';
import type Member from '@burdockcove/types/Member';
import type Membership from '@burdockcove/types/Membership';

/** Shows what the fleet last set. */
export default class VirtualMembership implements Membership {
  private members: readonly Member[];

  private readonly listeners = new Set<() => void>();

  constructor(private readonly self: EntryVm) {
    this.members = [{ ...self, state: 'live', reachable: true }];
  }

  getSelf(): EntryVm {
    return this.self;
  }

  getMembers(): readonly Member[] {
    return this.members;
  }

  isTargetLeaving(): boolean {
    return false;
  }

  subscribe(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  setMembers(members: readonly Member[]): void {
    this.members = members;
    this.listeners.forEach((listener) => listener());
  }
}
