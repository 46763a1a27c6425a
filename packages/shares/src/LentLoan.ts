/**
 * A loan as tracked by its owner.
 */

/**
 * Its slots count as lent until the borrower returns them or the loan expires on the owner's clock.
 */
interface LentLoan {
  readonly key: string;
  readonly target: string;
  readonly slots: number;
  readonly expiresAtMs: number;
}

export default LentLoan;
