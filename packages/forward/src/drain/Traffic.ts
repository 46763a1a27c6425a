/**
 * What a planned stop waits for.
 */

/** The callers' traffic as it stands. */
interface Traffic {
  /** Requests being worked on. */
  countInFlight(): number;
  /** Connections of callers that are open. */
  countConnections(): number;
  /** Monotonic time of the last request, in milliseconds. */
  getLastRequestMs(): number;
}

export default Traffic;
