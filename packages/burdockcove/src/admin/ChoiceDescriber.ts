/**
 * What the choice of a target knows of each target now.
 */

/** The target's standing in words, with the evidence behind it. */
interface ChoiceDescription {
  readonly target: string;
  /** False where the choice passes the target over now. */
  readonly usable: boolean;
  /** Own in-flight requests, latency, age of the last report, ejection: one phrase each. */
  readonly evidence: readonly string[];
}

/** Reads state; chooses nothing. */
interface ChoiceDescriber {
  describeTargets(service: string, targets: readonly string[]): readonly ChoiceDescription[];
}

export default ChoiceDescriber;
