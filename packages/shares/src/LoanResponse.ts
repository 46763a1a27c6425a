/**
 * Response of an owner to a loan update.
 */

/** Loan terms start when the borrower sent the request. */
interface LoanResponse {
  readonly renewed: readonly number[];
  readonly grants: readonly {
    readonly number: number;
    readonly target: string;
    readonly slots: number;
  }[];
}

export default LoanResponse;
