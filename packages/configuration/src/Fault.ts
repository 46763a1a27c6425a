/**
 * A fault found in a settings or configuration file.
 */

/** Lines and columns count from one. */
interface Fault {
  readonly file: string;
  readonly line: number;
  readonly column: number;
  readonly found: string;
  readonly expected: string;
}

export default Fault;
