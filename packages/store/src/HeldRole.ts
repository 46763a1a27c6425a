/**
 * A role that this entry VM holds.
 */

/** Valid only at the time of reading; read it again before each use. */
interface HeldRole {
  readonly role: string;
  /** The store's revision at which the role was acquired; increases with every new holder. */
  readonly epoch: number;
  /** Store key of the role. */
  readonly key: string;
}

export default HeldRole;
