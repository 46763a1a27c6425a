/**
 * How a command can end other than done.
 */

/** `Refused`: nothing was changed. `Usage`: the command line is wrong. `Unknown`: it may have been done. */
interface CtlFailure {
  readonly _tag: 'Refused' | 'Usage' | 'Unknown';
  readonly step: string;
  readonly peer: string;
  readonly detail: string;
  /** More for the operator, one line each. */
  readonly lines: readonly string[];
}

export default CtlFailure;
