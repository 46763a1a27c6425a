/**
 * A loan as its owner keeps it.
 */

/** The slots stay counted until they are returned or the owner's end has passed. */
interface LentLoan {
  readonly key: string;
  readonly target: string;
  readonly slots: number;
  readonly expiresAtMs: number;
}

export default LentLoan;
