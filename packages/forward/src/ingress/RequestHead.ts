/**
 * The parsed head of a caller's request.
 */

/** `headers` are flat name and value pairs for targets. */
interface RequestHead {
  readonly headers: readonly string[];
  readonly hostCount: number;
  /** Raw values of the deadline header. */
  readonly deadlines: readonly string[];
}

export default RequestHead;
