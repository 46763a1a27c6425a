/**
 * A fault by its place in the value, before it is traced to a line.
 */

/** `path` names keys and positions from the root of the file. */
interface Finding {
  readonly path: readonly (string | number)[];
  readonly found: string;
  readonly expected: string;
}

export default Finding;
