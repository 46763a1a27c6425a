/**
 * The waiting requests of one Member.
 */
import type Waiter from './Waiter.js';

/** Oldest first. */
export default class MemberQueue {
  private readonly waiters: Waiter[] = [];

  /** Counts services in order, so that Members with equal use take turns. */
  servedAt = 0;

  add(waiter: Waiter): void {
    this.waiters.push(waiter);
  }

  remove(waiter: Waiter): boolean {
    const position = this.waiters.indexOf(waiter);
    if (position >= 0) {
      this.waiters.splice(position, 1);
    }
    return position >= 0;
  }

  getLength(): number {
    return this.waiters.length;
  }

  /** The oldest or newest waiter whose group is not blocked. */
  findNext(blocked: ReadonlySet<string>, newestFirst: boolean): Waiter | undefined {
    const isOpen = (waiter: Waiter): boolean => !blocked.has(waiter.group);
    return newestFirst ? this.waiters.findLast(isOpen) : this.waiters.find(isOpen);
  }

  getOldest(): Waiter | undefined {
    return this.waiters[0];
  }

  getNewest(): Waiter | undefined {
    return this.waiters.at(-1);
  }
}
