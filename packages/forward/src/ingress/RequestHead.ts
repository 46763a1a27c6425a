/**
 * The head of a caller's request.
 */

/** `headers` are those for targets, flat name and value pairs. */
interface RequestHead {
  readonly headers: readonly string[];
  readonly hostCount: number;
  /** Values of the deadline header, as they were sent. */
  readonly deadlines: readonly string[];
}

export default RequestHead;
