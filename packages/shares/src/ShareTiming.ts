/**
 * Times that the safety of loans and plans depends on.
 */

/** Times are in milliseconds and must be the same at every entry VM. */
interface ShareTiming {
  /** Term of a loan, which starts for the borrower when it sends the request. */
  readonly loanTermMs: number;
  /**
   * Safety margin added, besides clock drift, when a VM waits for a duration measured by another
   * VM.
   */
  readonly marginMs: number;
  /** Maximum relative drift between a clock and real time. */
  readonly clockDriftRatio: number;
  /**
   * A process that was paused for longer reads the plans from the store again before it uses owned
   * slots.
   */
  readonly maxPauseMs: number;
}

export default ShareTiming;
