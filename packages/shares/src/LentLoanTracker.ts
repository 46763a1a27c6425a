/**
 * The loans that this entry VM granted.
 */
import type Clock from '@burdockcove/runtime/Clock';
import type LentLoan from './LentLoan.js';

/** Slots lent by target. A loan only shrinks, so that late or repeated messages change nothing. */
export default class LentLoanTracker {
  private readonly loans = new Map<string, LentLoan>();

  private readonly slots = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** Records a loan that ends by itself after the time given, in milliseconds. */
  addLoan(key: string, target: string, slots: number, durationMs: number): void {
    const expiresAtMs = this.clock.getMonotonicMs() + durationMs;
    this.loans.set(key, { key, target, slots, expiresAtMs });
    this.addSlots(target, slots);
  }

  hasLoan(key: string): boolean {
    return this.loans.has(key);
  }

  /** Lowers a loan to what the borrower still holds. */
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

  /** Starts the term anew; false where the loan is unknown. */
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

  /** Ends the loans whose time has passed; true where there were any. */
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
