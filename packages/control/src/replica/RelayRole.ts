/**
 * Whether this entry VM asks the store by itself.
 */

/** Asked again and again, since it changes with the members. */
interface RelayRole {
  /** True where this VM is to watch the store for others. */
  isRelay(): boolean;
  /** True where this VM knows of no other that it could ask. */
  isAlone(): boolean;
}

export default RelayRole;
