/**
 * Which parts of a customer's quota this VM does not ask for the moment, and why.
 *
 * A VM belongs to one part. Where that is used up or has no owner, the VM asks for others, so that a customer whose
 * requests arrive at few VMs can use its whole quota. The other parts are asked more rarely once they have refused, so
 * that a flood does not multiply calls by the number of parts.
 *
 * A call that is late does not hold its part: the answer may still come, and its portion is used then. Only a call that
 * fails, or has had no answer for so long that its owner is taken for gone, does.
 */

const MIN_DENIED_MS = 50;
/** Longest time for which requests are refused without asking the own part again. */
const MAX_DENIED_MS = 250;
/** The same for other parts. */
const MIN_OTHER_DENIED_MS = 250;
const MAX_OTHER_DENIED_MS = 4000;
/** Time without asking a part whose owner could not be reached or does not grant. */
const UNANSWERED_MS = 250;
/** Time for which a VM takes its turn at the first part, after the parts shared with other customers denied. */
const SPREAD_MS = 15_000;
/** Denials that are counted; the times reach their limits before. */
const MAX_DENIALS = 6;

interface Hold {
  readonly untilMs: number;
  readonly reason: 'denied' | 'unanswered';
  /** Denials of the part, less one for each full grant, so that a flood is not taken for over after one of them. */
  readonly denials: number;
}

/** Times are monotonic, in milliseconds. */
export default class PartHolds {
  private readonly holds = new Map<number, Hold>();

  /** Calls that are not over, by part. */
  private readonly calls = new Map<number, 'recent' | 'late' | 'silent'>();

  /** Parts whose last call failed or was silent. */
  private readonly failed = new Set<number>();

  private deniedAtMs = -Infinity;

  private ownPart = 0;

  private parts = 1;

  /** Sets the part that is asked first and the number of parts. */
  setParts(ownPart: number, parts: number): void {
    if (parts !== this.parts) {
      this.holds.clear();
      this.calls.clear();
      this.failed.clear();
    }
    this.ownPart = ownPart;
    this.parts = parts;
  }

  /** Returns the next part to ask, or undefined while each is held or is being asked. */
  findPart(nowMs: number): number | undefined {
    return this.listParts().find((part) => !this.calls.has(part) && !this.isHeld(part, nowMs));
  }

  recordCall(part: number): void {
    this.calls.set(part, 'recent');
  }

  /** Records that a call is late; other parts may be asked meanwhile. */
  recordLate(part: number): void {
    this.calls.set(part, 'late');
  }

  /** Records that a call has been without an answer for so long that none is waited for. */
  recordSilent(part: number, nowMs: number): void {
    this.calls.set(part, 'silent');
    this.recordFailed(part, nowMs);
  }

  recordCallEnd(part: number): void {
    this.calls.delete(part);
  }

  /** Whether a call has been sent that is not late yet; what arrives meanwhile joins the next one. */
  isAsking(): boolean {
    return [...this.calls.values()].includes('recent');
  }

  /** Whether the answer to a call may still come in time. */
  isAwaiting(): boolean {
    return [...this.calls.values()].some((state) => state !== 'silent');
  }

  /** Whether a part may grant that has not failed lately; requests must not pile up behind those that have. */
  canExpectGrant(nowMs: number): boolean {
    return this.listParts().some(
      (part) => !this.failed.has(part) && (this.calls.has(part) || !this.isHeld(part, nowMs)),
    );
  }

  recordGranted(part: number): void {
    this.failed.delete(part);
    const denials = (this.holds.get(part)?.denials ?? 0) - 1;
    if (denials > 0) {
      this.holds.set(part, { untilMs: -Infinity, reason: 'denied', denials });
    } else {
      this.holds.delete(part);
    }
  }

  /** Whether more than the own part was found used up lately. */
  wasDenied(nowMs: number): boolean {
    return nowMs < this.deniedAtMs + SPREAD_MS;
  }

  recordDenied(part: number, waitMs: number, nowMs: number): void {
    if (part !== this.ownPart) {
      this.deniedAtMs = nowMs;
    }
    this.failed.delete(part);
    const denials = Math.min(MAX_DENIALS, (this.holds.get(part)?.denials ?? 0) + 1);
    const [minMs, maxMs] =
      part === this.ownPart
        ? [MIN_DENIED_MS, MAX_DENIED_MS]
        : [MIN_OTHER_DENIED_MS, MAX_OTHER_DENIED_MS];
    const repeatedMs = minMs * 2 ** (denials - 1);
    const heldMs = Math.min(maxMs, Math.max(waitMs, repeatedMs));
    this.holds.set(part, { untilMs: nowMs + heldMs, reason: 'denied', denials });
  }

  /** Records that an owner could not be reached. */
  recordFailed(part: number, nowMs: number): void {
    this.failed.add(part);
    this.recordNotOwned(part, nowMs);
  }

  /** Records that the VM that was asked does not grant. */
  recordNotOwned(part: number, nowMs: number): void {
    this.holds.set(part, { untilMs: nowMs + UNANSWERED_MS, reason: 'unanswered', denials: 0 });
  }

  /** Returns the milliseconds until a part that is held now is asked again; zero if none is held. */
  computeWaitMs(nowMs: number): number {
    const ends = [...this.holds.values()].map(({ untilMs }) => untilMs);
    const heldUntilMs = Math.min(...ends.filter((untilMs) => untilMs > nowMs));
    return heldUntilMs === Infinity ? 0 : heldUntilMs - nowMs;
  }

  /** Returns the parts that denied or did not answer lately, or the one that is asked first if there is none. */
  listNotAdmitting(): readonly number[] {
    return this.holds.size === 0 ? [this.ownPart] : [...this.holds.keys()];
  }

  /** Whether each part was found used up; otherwise it is not known whether the customer is over its quota. */
  areAllDenied(): boolean {
    return [...this.holds.values()].every(({ reason }) => reason === 'denied');
  }

  private listParts(): readonly number[] {
    return Array.from({ length: this.parts }, (_, offset) => (this.ownPart + offset) % this.parts);
  }

  private isHeld(part: number, nowMs: number): boolean {
    return (this.holds.get(part)?.untilMs ?? -Infinity) > nowMs;
  }
}
