/**
 * The queued requests of one Member.
 */
import type Waiter from './Waiter.js';

/** Ordered from oldest to newest. */
export default class MemberQueue {
  private readonly waiters: Waiter[] = [];

  /** Sequence number of the last removal, by which Members with equally many requests in flight take turns. */
  lastServedSequence = 0;

  add(waiter: Waiter): void {
    this.waiters.push(waiter);
  }

  remove(waiter: Waiter): boolean {
    const index = this.waiters.indexOf(waiter);
    if (index >= 0) {
      this.waiters.splice(index, 1);
    }
    return index >= 0;
  }

  getLength(): number {
    return this.waiters.length;
  }

  /** Returns the oldest or newest waiter whose group is not blocked. */
  findNext(blocked: ReadonlySet<string>, newestFirst: boolean): Waiter | undefined {
    const isUnblocked = (waiter: Waiter): boolean => !blocked.has(waiter.groupKey);
    return newestFirst ? this.waiters.findLast(isUnblocked) : this.waiters.find(isUnblocked);
  }

  getOldest(): Waiter | undefined {
    return this.waiters[0];
  }

  getNewest(): Waiter | undefined {
    return this.waiters.at(-1);
  }
}
