/**
 * The loans that this entry VM has borrowed.
 */
import type Clock from '@burdockcove/runtime/Clock';
import type BorrowedLoan from './BorrowedLoan.js';

/** Tracks borrowed loans by number and by target. */
export default class BorrowedLoanTracker {
  private readonly loans = new Map<number, BorrowedLoan>();

  private readonly byTarget = new Map<string, Set<BorrowedLoan>>();

  constructor(private readonly clock: Clock) {}

  addLoan(loan: BorrowedLoan): void {
    this.loans.set(loan.number, loan);
    const loans = this.byTarget.get(loan.target) ?? new Set();
    loans.add(loan);
    this.byTarget.set(loan.target, loans);
  }

  removeLoan(loan: BorrowedLoan): void {
    this.loans.delete(loan.number);
    const loans = this.byTarget.get(loan.target);
    loans?.delete(loan);
    if (loans?.size === 0) {
      this.byTarget.delete(loan.target);
    }
  }

  getLoan(number: number): BorrowedLoan | undefined {
    return this.loans.get(number);
  }

  listLoans(): readonly BorrowedLoan[] {
    return [...this.loans.values()];
  }

  /** Slots on which a request can start now. */
  countFree(target: string): number {
    const nowMs = this.clock.getMonotonicMs();
    return this.listByTarget(target).reduce((sum, loan) => sum + loan.countFree(nowMs), 0);
  }

  /** Requests in flight on borrowed slots. */
  countInUse(target: string): number {
    return this.listByTarget(target).reduce((sum, loan) => sum + loan.countInUse(), 0);
  }

  /** Takes a slot of the loan that expires last. */
  takeSlot(target: string): BorrowedLoan | undefined {
    const nowMs = this.clock.getMonotonicMs();
    const free = this.listByTarget(target).filter((loan) => loan.countFree(nowMs) > 0);
    const [loan] = free.sort((a, b) => b.getExpiresAtMs() - a.getExpiresAtMs());
    loan?.takeSlot(nowMs);
    return loan;
  }

  private listByTarget(target: string): BorrowedLoan[] {
    return [...(this.byTarget.get(target) ?? [])];
  }
}
