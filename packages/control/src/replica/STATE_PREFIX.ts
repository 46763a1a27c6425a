/**
 * Where the state that all entry VMs share is kept in the store.
 */

/** Prefix of the replicated keys. */
const STATE_PREFIX = 'state/';

export default STATE_PREFIX;
