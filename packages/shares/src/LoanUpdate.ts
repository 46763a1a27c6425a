/**
 * What a borrower tells and asks an owner.
 */

/** A loan by its number within one process of the borrower, and the slots that are still held. */
interface LoanHolding {
  readonly number: number;
  readonly kept: number;
}

/** Applied in the order returns, renewals, request; repeating or reordering it is harmless. */
interface LoanUpdate {
  /** `IP:PORT` of the borrower. */
  readonly borrower: string;
  /** Differs between two processes at the same address. */
  readonly incarnation: string;
  /** Longest time from sending this until the last request on a loan has ended, in milliseconds. */
  readonly lastsMs: number;
  readonly returned: readonly LoanHolding[];
  readonly renewed: readonly LoanHolding[];
  /** Number of the loan at the first of the targets; the next targets follow. */
  readonly firstNumber: number;
  readonly targets: readonly string[];
  /** Slots wanted in all, at any of the targets. */
  readonly wanted: number;
}

export default LoanUpdate;
