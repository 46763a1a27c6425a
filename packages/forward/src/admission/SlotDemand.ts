/**
 * Reports to the slot ledger how many queued requests wait for slots at which targets.
 */
import type SlotLedger from '@burdockcove/types/SlotLedger';
import type Waiter from './Waiter.js';

/** Reports each change, so that the ledger can borrow slots or return them. */
export default class SlotDemand {
  private readonly waiters = new Set<Waiter>();

  private readonly counts = new Map<string, number>();

  constructor(private readonly ledger: SlotLedger) {}

  add(waiter: Waiter): void {
    this.waiters.add(waiter);
    this.adjustCount(waiter, 1);
  }

  /** Has no effect for a waiter that was not added. */
  remove(waiter: Waiter): void {
    if (this.waiters.delete(waiter)) {
      this.adjustCount(waiter, -1);
    }
  }

  private adjustCount(waiter: Waiter, change: 1 | -1): void {
    const targets = waiter.request.plan.regions.flatMap((region) => region.targets);
    const names = targets.map((target) => target.name);
    const key = names.join(' ');
    const count = (this.counts.get(key) ?? 0) + change;
    if (count === 0) {
      this.counts.delete(key);
    } else {
      this.counts.set(key, count);
    }
    this.ledger.requestSlots(names, count);
  }
}
