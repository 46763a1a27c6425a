/**
 * Limits on what callers may do to the server.
 */

/** Times are in milliseconds. */
interface CallerLimits {
  readonly maxHeaderBytes: number;
  /** Time for the head of a request to arrive. */
  readonly headersTimeoutMs: number;
  /** Time for a whole request to arrive. */
  readonly requestTimeoutMs: number;
  /** Time that an idle connection stays open. */
  readonly keepAliveTimeoutMs: number;
  /** How often the times above are checked. */
  readonly checkIntervalMs: number;
  readonly maxConnections: number;
}

export default CallerLimits;
