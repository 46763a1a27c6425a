/**
 * The deadline of a request.
 */

/** Times are in milliseconds from the receipt of the request. */
interface Deadline {
  /** How long the caller waits; the service's limit if it sent no deadline. */
  readonly callerTimeoutMs: number;
  /** The caller's timeout, limited to that of the service. */
  readonly deadlineMs: number;
}

export default Deadline;
