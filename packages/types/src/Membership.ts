/**
 * The entry VMs as this one knows them.
 */
import type EntryVm from './EntryVm.js';
import type Member from './Member.js';

/** Kept current from the VM list, corrected by what entry VMs see of each other. */
interface Membership {
  getSelf(): EntryVm;
  /** All known entry VMs, this one among them. */
  getMembers(): readonly Member[];
  /** True where the VM list calls the target at this address leaving or, after having listed it, no longer lists it. */
  isTargetLeaving(address: string): boolean;
  subscribe(listener: () => void): () => void;
}

export default Membership;
