/**
 * Something that was considered and not used.
 */

/** A selector or target by name, with the reason in words. */
interface RuledOut {
  readonly kind: 'selector' | 'target';
  readonly name: string;
  readonly reason: string;
}

export default RuledOut;
