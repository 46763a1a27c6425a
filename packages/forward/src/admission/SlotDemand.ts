/**
 * How many requests wait for slots at which targets, for the ledger.
 */
import type SlotLedger from '@burdockcove/types/SlotLedger';
import type Waiter from './Waiter.js';

/** Tells the ledger of each change, so that it can borrow slots or give them back. */
export default class SlotDemand {
  private readonly waiters = new Set<Waiter>();

  private readonly counts = new Map<string, number>();

  constructor(private readonly ledger: SlotLedger) {}

  add(waiter: Waiter): void {
    this.waiters.add(waiter);
    this.change(waiter, 1);
  }

  /** Has no effect for a waiter that was not added. */
  remove(waiter: Waiter): void {
    if (this.waiters.delete(waiter)) {
      this.change(waiter, -1);
    }
  }

  private change(waiter: Waiter, by: 1 | -1): void {
    const targets = waiter.request.plan.regions.flatMap((region) => region.targets);
    const names = targets.map((target) => target.name);
    const key = names.join(' ');
    const count = (this.counts.get(key) ?? 0) + by;
    if (count === 0) {
      this.counts.delete(key);
    } else {
      this.counts.set(key, count);
    }
    this.ledger.requestSlots(names, count);
  }
}
