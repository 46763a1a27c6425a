/**
 * One difference between two configurations.
 */

/** `object` names what changed (`target NAME`, `selector NAME`), `detail` how. */
interface Change {
  readonly object: string;
  readonly detail: string;
}

export default Change;
