/**
 * How long a request may take.
 */

/** Both in milliseconds from when the request came. */
interface Deadline {
  /** How long the caller waits, as far as it says so. */
  readonly callerTimeoutMs: number;
  /** The caller's wish, at most the service's limit. */
  readonly deadlineMs: number;
}

export default Deadline;
