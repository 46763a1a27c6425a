/**
 * A map of limited size.
 */

/** Evicts the entry that was set longest ago. */
export default class BoundedMap<Key, Value> {
  private readonly entries = new Map<Key, Value>();

  constructor(private readonly maxEntries: number) {}

  get size(): number {
    return this.entries.size;
  }

  get(key: Key): Value | undefined {
    return this.entries.get(key);
  }

  set(key: Key, value: Value): void {
    this.entries.delete(key);
    this.entries.set(key, value);
    if (this.entries.size > this.maxEntries) {
      const [oldest = key] = this.entries.keys();
      this.entries.delete(oldest);
    }
  }

  delete(key: Key): void {
    this.entries.delete(key);
  }
}
