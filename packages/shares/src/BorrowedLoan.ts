/**
 * A loan as tracked by its borrower.
 */
import type EntryVm from '@burdockcove/types/EntryVm';

/** No request starts on the loan after it has expired; requests in flight at that time continue. */
export default class BorrowedLoan {
  private inUse = 0;

  /** Most slots in use at once since the last renewal was requested. */
  private peakInUse = 0;

  private renewalPending = false;

  constructor(
    readonly number: number,
    readonly owner: Pick<EntryVm, 'address' | 'peerAddress'>,
    readonly target: string,
    private slots: number,
    private expiresAtMs: number,
    private usedAtMs: number,
    /** Time after which an unused loan counts as idle, in milliseconds. */
    private readonly idleMs: number,
  ) {}

  countInUse(): number {
    return this.inUse;
  }

  countSlots(): number {
    return this.slots;
  }

  countFree(nowMs: number): number {
    return nowMs < this.expiresAtMs ? Math.max(0, this.slots - this.inUse) : 0;
  }

  getExpiresAtMs(): number {
    return this.expiresAtMs;
  }

  takeSlot(nowMs: number): void {
    this.inUse += 1;
    this.peakInUse = Math.max(this.peakInUse, this.inUse);
    this.usedAtMs = nowMs;
  }

  releaseSlot(nowMs: number): void {
    this.inUse -= 1;
    this.usedAtMs = nowMs;
  }

  /** Whether the loan is in use or was used within its idle time. */
  isActive(nowMs: number): boolean {
    return this.inUse > 0 || nowMs - this.usedAtMs < this.idleMs;
  }

  /** Releases all slots that are not in use and returns how many were released. */
  releaseUnusedSlots(): number {
    const releasedSlots = this.slots - this.inUse;
    this.slots = this.inUse;
    return releasedSlots;
  }

  isRenewalPending(): boolean {
    return this.renewalPending;
  }

  /**
   * Releases the slots that were not needed since the last renewal and returns the number to renew.
   */
  startRenewal(): number {
    this.renewalPending = true;
    this.slots = Math.min(this.slots, Math.max(this.peakInUse, 1));
    this.peakInUse = this.inUse;
    return this.slots;
  }

  /** Completes the renewal; `expiresAtMs` is the new expiry in milliseconds if it was granted. */
  finishRenewal(expiresAtMs?: number): void {
    this.renewalPending = false;
    this.expiresAtMs = Math.max(this.expiresAtMs, expiresAtMs ?? 0);
  }

  /** Prevents further requests from starting on the loan. */
  expire(): void {
    this.expiresAtMs = 0;
  }
}
