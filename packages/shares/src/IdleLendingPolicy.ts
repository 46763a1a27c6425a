/**
 * Lending policy that lends idle slots.
 */
import type LendingPolicy from './LendingPolicy.js';

/**
 * Lends all idle slots except a reserve, which is a ratio of the slots in use. Lends and renews
 * nothing while local requests wait.
 */
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
