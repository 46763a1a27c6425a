/**
 * Which part of a customer's quota this VM asks first.
 *
 * The VMs of each failure domain take the parts in turn, so that a customer whose requests arrive in one failure domain
 * only still uses all parts alike. VMs that disagree on the membership take other parts, which is safe: only the owner
 * of a part has to be agreed upon.
 *
 * Customers with the same number of parts have the same part here, whose owner they share. The first part of a customer
 * has an owner of its own. It is therefore left to its turn only where the others have been found used up.
 */
import type MemberTable from '@burdockcove/fleet/MemberTable';

/** VMs of each part but the first, where one belongs to the first; follows its rate in `splitQuota`. */
const VMS_PER_PART = 3;

/** Counts again when the membership has changed. */
export default class VmOrder {
  private position = 0;

  private countedAt = -1;

  constructor(private readonly members: MemberTable) {}

  /** `needsAll` is set where parts were found used up lately, so that the VMs must spread over all of them. */
  choosePart(parts: number, needsAll: boolean): number {
    if (parts === 1) {
      return 0;
    }
    if (this.countedAt !== this.members.countChanges()) {
      this.countedAt = this.members.countChanges();
      this.position = this.countBefore();
    }
    // The first part has a third of the rate of each other one, and gets a third as many VMs.
    const others = parts - 1;
    const slots = 1 + VMS_PER_PART * others;
    const slot = this.position % slots;
    if (slot > 0) {
      return 1 + ((slot - 1) % others);
    }
    return needsAll ? 0 : 1 + (Math.floor(this.position / slots) % others);
  }

  /** Returns the number of members that come before this VM by failure domain and name. */
  private countBefore(): number {
    const { self } = this.members;
    return this.members.listMembers().filter(({ failureDomain, name }) => {
      const isSame = failureDomain === self.failureDomain;
      return isSame ? name < self.name : failureDomain < self.failureDomain;
    }).length;
  }
}
