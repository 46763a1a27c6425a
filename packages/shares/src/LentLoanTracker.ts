/**
 * The loans that this entry VM has granted.
 */
import type Clock from '@burdockcove/runtime/Clock';
import type LentLoan from './LentLoan.js';

/**
 * Tracks lent slots by target. The number of slots of a loan only decreases, so late or repeated
 * messages have no effect.
 */
export default class LentLoanTracker {
  private readonly loans = new Map<string, LentLoan>();

  private readonly slots = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** Records a loan that expires after `durationMs` milliseconds. */
  addLoan(key: string, target: string, slots: number, durationMs: number): void {
    const expiresAtMs = this.clock.getMonotonicMs() + durationMs;
    this.loans.set(key, { key, target, slots, expiresAtMs });
    this.addSlots(target, slots);
  }

  hasLoan(key: string): boolean {
    return this.loans.has(key);
  }

  /** Reduces a loan to the slots that the borrower still holds. */
  reduceLoan(key: string, kept: number): void {
    const loan = this.loans.get(key);
    if (loan === undefined || kept >= loan.slots) {
      return;
    }
    this.addSlots(loan.target, kept - loan.slots);
    if (kept === 0) {
      this.loans.delete(key);
    } else {
      this.loans.set(key, { ...loan, slots: kept });
    }
  }

  /**
   * Extends the loan by `durationMs` milliseconds from now; returns false if the loan is unknown.
   */
  renewLoan(key: string, durationMs: number): boolean {
    const loan = this.loans.get(key);
    if (loan === undefined) {
      return false;
    }
    const expiresAtMs = Math.max(loan.expiresAtMs, this.clock.getMonotonicMs() + durationMs);
    this.loans.set(key, { ...loan, expiresAtMs });
    return true;
  }

  getTarget(key: string): string | undefined {
    return this.loans.get(key)?.target;
  }

  countLent(target: string): number {
    return this.slots.get(target) ?? 0;
  }

  /** Removes expired loans and returns whether there were any. */
  removeExpired(): boolean {
    const nowMs = this.clock.getMonotonicMs();
    const expired = [...this.loans.values()].filter((loan) => loan.expiresAtMs <= nowMs);
    expired.forEach((loan) => this.reduceLoan(loan.key, 0));
    return expired.length > 0;
  }

  private addSlots(target: string, change: number): void {
    const slots = this.countLent(target) + change;
    if (slots === 0) {
      this.slots.delete(target);
    } else {
      this.slots.set(target, slots);
    }
  }
}
