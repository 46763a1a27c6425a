/**
 * Why a request was refused before any target could have run it.
 */

/** Machine-readable reason, the last part of the problem type. */
type NotRunReason =
  | 'unknown-service'
  | 'malformed'
  | 'body-too-large'
  | 'no-target'
  | 'region-full'
  | 'not-in-time'
  | 'link-full'
  | 'queue-full'
  | 'service-limit'
  | 'member-limit'
  | 'quota'
  | 'deadline'
  | 'target-shed'
  | 'target-unreachable'
  | 'not-ready'
  | 'stopping'
  | 'unknown-key'
  | 'stale-keys';

export default NotRunReason;
