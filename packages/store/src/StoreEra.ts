/**
 * The store's era as this process knows it.
 *
 * The store counts its returns from a snapshot. Each of them takes back what was acknowledged since the snapshot and
 * issues revisions again, so a revision says nothing without its era. A store that does not count has era 0 for ever.
 */

/** Shared by all that call the store or learn of it from other VMs; never goes back. */
export default class StoreEra {
  private highest = 0;

  private readonly listeners = new Set<() => void>();

  /** The highest era that this process has heard of. */
  get current(): number {
    return this.highest;
  }

  /** Records an era that was heard of; returns false if it is lower than the highest, which then stays. */
  record(era: number): boolean {
    if (era > this.highest) {
      this.highest = era;
      [...this.listeners].forEach((listener) => listener());
    }
    return era === this.highest;
  }

  /** Calls the listener whenever the era has risen; returns a function that ends that. */
  subscribe(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => {
      this.listeners.delete(listener);
    };
  }
}
