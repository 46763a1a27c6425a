/**
 * Health of an entry VM as seen by the others.
 */

/** `suspect`: a probe failed and the failure timeout has not passed; `unreachable`: it has passed. */
type MemberHealth = 'alive' | 'suspect' | 'unreachable';

export default MemberHealth;
