/**
 * A limit that a change would break.
 */

/** `detail` gives the figures. */
interface LimitBreach {
  readonly limit: 'targets' | 'slots' | 'link' | 'cap' | 'size';
  readonly object: string;
  readonly detail: string;
}

export default LimitBreach;
