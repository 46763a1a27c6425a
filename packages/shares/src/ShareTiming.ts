/**
 * The times that the safety of loans and plans rests on.
 */

/** All in milliseconds; the same at every entry VM. */
interface ShareTiming {
  /** Term of a loan, counted by the borrower from when it sent the request. */
  readonly loanTermMs: number;
  /** Added wherever one VM waits for a time measured by another, beside the drift. */
  readonly marginMs: number;
  /** Largest share by which two clocks run apart. */
  readonly clockDriftRatio: number;
  /** A process that did not run for longer than this reads the plan anew before it uses owned slots. */
  readonly maxPauseMs: number;
}

export default ShareTiming;
