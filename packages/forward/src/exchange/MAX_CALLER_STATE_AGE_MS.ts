/**
 * Age limit of what is known about a caller.
 */

/** What is known of a caller is refreshed from this age on, before anything is sent for the caller. */
const MAX_CALLER_STATE_AGE_MS = 100;

export default MAX_CALLER_STATE_AGE_MS;
