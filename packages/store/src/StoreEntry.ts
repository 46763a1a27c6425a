/**
 * One key of the store with its value.
 */

/** `revision` is the store's own counter at the key's last change; zero stands for a key that does not exist. */
interface StoreEntry {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
}

export default StoreEntry;
