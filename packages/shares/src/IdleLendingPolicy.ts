/**
 * Lending of whatever is idle.
 */
import type LendingPolicy from './LendingPolicy.js';

/** Lends every idle slot but a reserve, a share of the slots in use; nothing while requests wait here. */
export default class IdleLendingPolicy implements LendingPolicy {
  constructor(private readonly reserveRatio: number) {}

  countLendable(ownedNotLent: number, inUse: number, waiting: number): number {
    if (waiting > 0) {
      return 0;
    }
    return Math.max(0, Math.floor(ownedNotLent - inUse - inUse * this.reserveRatio));
  }

  isRenewable(waiting: number): boolean {
    return waiting === 0;
  }
}
