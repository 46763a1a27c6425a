/**
 * Traffic that a planned stop waits for.
 */

/** Current traffic of callers. */
interface Traffic {
  /** Returns the number of requests in flight. */
  countInFlight(): number;
  /** Returns the number of open connections of callers. */
  countConnections(): number;
  /** Returns the monotonic time of the last request, in milliseconds. */
  getLastRequestMs(): number;
}

export default Traffic;
