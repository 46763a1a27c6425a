/**
 * What a caller was told about one request.
 */

/** `wrong` is an answer to another request; `cut` is a connection that ended without a whole answer. */
interface CallerOutcome {
  readonly id: string;
  readonly method: string;
  readonly told: 'answered' | 'not-run' | 'unknown' | 'refused' | 'wrong' | 'cut';
  readonly status: number;
  /** The target that answered, empty for other outcomes. */
  readonly target: string;
  /** Milliseconds from when the request was due to its end. */
  readonly latencyMs: number;
  /** The error's code or name where no answer came, empty otherwise. */
  readonly failure: string;
}

export default CallerOutcome;
