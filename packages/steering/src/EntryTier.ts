/**
 * Entry VMs that are equally suitable for a client.
 */
import type Member from '@burdockcove/types/Member';

/** Callers are spread evenly over the VMs of a tier. */
interface EntryTier {
  readonly members: readonly Member[];
}

export default EntryTier;
