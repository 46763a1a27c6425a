/**
 * A role that this entry VM holds.
 */

/** Valid only at the moment it was read; ask again before each use. */
interface HeldRole {
  readonly role: string;
  /** The store's revision at which the role was acquired; grows with every holder. */
  readonly epoch: number;
  /** The role's key in the store. */
  readonly key: string;
}

export default HeldRole;
