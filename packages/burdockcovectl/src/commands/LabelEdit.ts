/**
 * A change of labels on one object.
 */

/** `set` adds or replaces labels, `removed` takes them away. */
interface LabelEdit {
  readonly kind: 'target' | 'failure-domain' | 'region';
  readonly name: string;
  readonly set: Readonly<Record<string, string>>;
  readonly removed: readonly string[];
}

export default LabelEdit;
