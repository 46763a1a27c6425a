/**
 * A membership that never changes, for a single entry VM and for tests.
 */
import type EntryVm from '@burdockcove/types/EntryVm';
import type Member from '@burdockcove/types/Member';
import type Membership from '@burdockcove/types/Membership';

/** Every VM named is live and reachable. */
export default class StaticMembership implements Membership {
  constructor(
    private readonly self: EntryVm,
    private readonly others: readonly EntryVm[],
  ) {}

  getSelf(): EntryVm {
    return this.self;
  }

  getMembers(): readonly Member[] {
    return [this.self, ...this.others].map((vm) => ({ ...vm, state: 'live', reachable: true }));
  }

  isTargetLeaving(): boolean {
    return false;
  }

  subscribe(): () => void {
    return () => undefined;
  }
}
