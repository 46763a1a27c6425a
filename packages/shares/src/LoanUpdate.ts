/**
 * Message from a borrower to an owner.
 */

/**
 * A loan, identified by its number within one borrower process, and the number of slots still held.
 */
interface LoanHolding {
  readonly number: number;
  readonly kept: number;
}

/**
 * Applied in the order returns, renewals, new loans. Repeated and reordered updates are harmless.
 */
interface LoanUpdate {
  /** `IP:PORT` of the borrower. */
  readonly borrower: string;
  /** Distinguishes processes that run at the same address. */
  readonly incarnation: string;
  /**
   * Longest time from sending this update until the last request on a loan has ended, in
   * milliseconds.
   */
  readonly lastsMs: number;
  readonly returned: readonly LoanHolding[];
  readonly renewed: readonly LoanHolding[];
  /** Number of the loan for the first target; the others are numbered consecutively. */
  readonly firstNumber: number;
  readonly targets: readonly string[];
  /** Number of slots wanted in total, on any of the targets. */
  readonly wanted: number;
}

export default LoanUpdate;
