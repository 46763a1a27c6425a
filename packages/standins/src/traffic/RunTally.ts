/**
 * What callers were told, held against what targets did.
 */

/** Counts over one run; all but the first four must be zero. */
interface RunTally {
  readonly answered: number;
  readonly notRun: number;
  readonly unknown: number;
  /** Connections that ended without a whole answer, and entry VMs that could not be reached. */
  readonly cut: number;
  /** At-most-once requests that ran more than once. */
  readonly doubled: number;
  /** Requests told to be not run that ran. */
  readonly falseNotRun: number;
  /** Answers to another request. */
  readonly wrong: number;
  /** Requests told to be answered that no target ran. */
  readonly unearned: number;
}

export default RunTally;
