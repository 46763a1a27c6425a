/**
 * A key of the store with its value.
 */

/** `revision` is the store's revision at the key's last change; zero means that the key does not exist. */
interface StoreEntry {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
}

export default StoreEntry;
