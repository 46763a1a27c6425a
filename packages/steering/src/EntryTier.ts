/**
 * Entry VMs that are equally good for a client.
 */
import type Member from '@burdockcove/types/Member';

/** Callers of one tier are spread evenly over its VMs. */
interface EntryTier {
  readonly members: readonly Member[];
}

export default EntryTier;
