/**
 * A selector or target that was considered but not used.
 */

/** Identified by name, with a human-readable reason. */
interface RuledOut {
  readonly kind: 'selector' | 'target';
  readonly name: string;
  readonly reason: string;
}

export default RuledOut;
