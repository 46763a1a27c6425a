/**
 * Faults that a target stand-in can show.
 */

/** Changed at any time; all off at the start. */
interface TargetFaults {
  /** Sheds every request. */
  shedAll: boolean;
  /** Runs the request, then drops the connection in place of an answer. */
  dropAfterRun: boolean;
  /** Sends the head and half of the body, then drops the connection. */
  cutAnswer: boolean;
  /** Answers 503 without the word that the request was not run. */
  plainUnavailable: boolean;
  /** Extra time before each answer, in milliseconds. */
  lateMs: number;
  /** Health answer in place of the true one. */
  healthLie: boolean | undefined;
  /** Load report in place of the true one. */
  loadLie: { readonly inFlight: number; readonly draining: boolean } | undefined;
  /** Repeats the load report given at the time of the freeze. */
  loadFrozen: boolean;
}

export default TargetFaults;
