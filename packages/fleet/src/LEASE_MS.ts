/**
 * Time to live of the lease under which an entry VM is registered.
 */

/** Milliseconds; a failed VM disappears from look-ups after this time. */
const LEASE_MS = 4000;

export default LEASE_MS;
