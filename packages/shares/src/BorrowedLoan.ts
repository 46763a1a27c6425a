/**
 * A loan as its borrower keeps it.
 */
import type EntryVm from '@burdockcove/types/EntryVm';

/** No request starts on it after its end; those in flight then go on. */
export default class BorrowedLoan {
  private inUse = 0;

  /** Most slots in use at once since the last renewal was asked for. */
  private peak = 0;

  private renewing = false;

  constructor(
    readonly number: number,
    readonly owner: Pick<EntryVm, 'address' | 'peerAddress'>,
    readonly target: string,
    private slots: number,
    private endsAtMs: number,
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
    return nowMs < this.endsAtMs ? Math.max(0, this.slots - this.inUse) : 0;
  }

  getEndsAtMs(): number {
    return this.endsAtMs;
  }

  takeSlot(nowMs: number): void {
    this.inUse += 1;
    this.peak = Math.max(this.peak, this.inUse);
    this.usedAtMs = nowMs;
  }

  releaseSlot(nowMs: number): void {
    this.inUse -= 1;
    this.usedAtMs = nowMs;
  }

  /** True until the loan has been unused for its idle time. */
  isActive(nowMs: number): boolean {
    return this.inUse > 0 || nowMs - this.usedAtMs < this.idleMs;
  }

  /** Gives up all slots but those in use; returns how many were given up. */
  lowerToInUse(): number {
    const given = this.slots - this.inUse;
    this.slots = this.inUse;
    return given;
  }

  isRenewing(): boolean {
    return this.renewing;
  }

  /** Gives up what was not needed since the last renewal and returns the slots to renew. */
  startRenewal(): number {
    this.renewing = true;
    this.slots = Math.min(this.slots, Math.max(this.peak, 1));
    this.peak = this.inUse;
    return this.slots;
  }

  /** Ends the renewal, with the new end in milliseconds where it was granted. */
  finishRenewal(endsAtMs?: number): void {
    this.renewing = false;
    this.endsAtMs = Math.max(this.endsAtMs, endsAtMs ?? 0);
  }

  /** Lets no further request start. */
  end(): void {
    this.endsAtMs = 0;
  }
}
