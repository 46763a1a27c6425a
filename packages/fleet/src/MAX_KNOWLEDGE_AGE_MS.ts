/**
 * Verified age of the known membership up to which a VM takes over anything from other members.
 *
 * It must be the same on all VMs, so it does not follow from settings: a new owner waits until those that do not know of
 * it have passed this age. Where settings allow changes to take longer, the state is read more often instead.
 */
import LEASE_MS from './LEASE_MS.js';

/** Time for a renewal and a read of the state that are late. */
const MARGIN_MS = 500;

/** Longer than a lease, which ends what its holder may do without the store. */
const MAX_KNOWLEDGE_AGE_MS = LEASE_MS + MARGIN_MS;

export default MAX_KNOWLEDGE_AGE_MS;
