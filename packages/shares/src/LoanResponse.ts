/**
 * What an owner answers to a borrower.
 */

/** Terms start at the time the request was sent. */
interface LoanResponse {
  readonly renewed: readonly number[];
  readonly grants: readonly {
    readonly number: number;
    readonly target: string;
    readonly slots: number;
  }[];
}

export default LoanResponse;
