/**
 * Limits of the server for callers.
 */

/** Times are in milliseconds. */
interface CallerLimits {
  readonly maxHeaderBytes: number;
  /** Time within which the head of a request must arrive. */
  readonly headersTimeoutMs: number;
  /** Time within which a complete request must arrive. */
  readonly requestTimeoutMs: number;
  /** Time for which an idle connection stays open. */
  readonly keepAliveTimeoutMs: number;
  /** Interval at which the timeouts above are checked. */
  readonly checkIntervalMs: number;
  readonly maxConnections: number;
}

export default CallerLimits;
