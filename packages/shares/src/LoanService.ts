/**
 * Owner's side of the loan protocol.
 */
import type LendingPolicy from './LendingPolicy.js';
import type LoanResponse from './LoanResponse.js';
import type LoanUpdate from './LoanUpdate.js';
import type OwnedSlotLedger from './OwnedSlotLedger.js';
import type ShareTiming from './ShareTiming.js';
import computeDriftSafeWaitMs from './computeDriftSafeWaitMs.js';

const MAX_TARGETS_PER_REQUEST = 64;
const MAX_SLOTS_PER_RESPONSE = 64;
/** A borrower that states a longer duration gets no loan. */
const MAX_LOAN_DURATION_MS = 600_000;

/**
 * Grants loans as the policy allows. Safety depends only on the ledger, which counts lent slots
 * until their loans expire.
 */
export default class LoanService {
  /** Loans whose renewal was refused within the last loan term. */
  private reclaims: readonly {
    readonly slots: number;
    readonly untilMs: number;
  }[] = [];

  constructor(
    private readonly ledger: OwnedSlotLedger,
    private readonly timing: ShareTiming,
    private readonly policy: LendingPolicy,
  ) {}

  updateLoans(update: LoanUpdate): LoanResponse {
    if (update.lastsMs > MAX_LOAN_DURATION_MS) {
      return { renewed: [], grants: [] };
    }
    this.removeExpired();
    update.returned.forEach(({ number, kept }) => {
      this.ledger.lent.reduceLoan(LoanService.buildKey(update, number), kept);
    });
    const renewed = update.renewed.filter(({ number, kept }) =>
      this.renewLoan(update, LoanService.buildKey(update, number), kept),
    );
    const grants = this.grantSlots(update);
    if (update.returned.length > 0) {
      this.ledger.notifyListeners();
    }
    return { renewed: renewed.map(({ number }) => number), grants };
  }

  /** Reclaims the slots of expired loans. */
  removeExpired(): void {
    if (this.ledger.lent.removeExpired()) {
      this.ledger.notifyListeners();
    }
  }

  private static buildKey(update: LoanUpdate, number: number): string {
    return `${update.borrower} ${update.incarnation} ${number}`;
  }

  private computeLoanDurationMs(update: LoanUpdate): number {
    return computeDriftSafeWaitMs(update.lastsMs, this.timing);
  }

  private renewLoan(update: LoanUpdate, key: string, kept: number): boolean {
    const { lent, demand } = this.ledger;
    lent.reduceLoan(key, kept);
    const target = lent.getTarget(key);
    return (
      target !== undefined &&
      this.ledger.isUsable(target) &&
      this.ledger.countOwnedNotLent(target) >= this.ledger.countOwnedInUse(target) &&
      !this.reclaimSlots(kept, demand.countWaiting(target)) &&
      lent.renewLoan(key, this.computeLoanDurationMs(update))
    );
  }

  /** Refuses a renewal while fewer slots are being reclaimed than local requests wait. */
  private reclaimSlots(slots: number, waiting: number): boolean {
    const nowMs = this.ledger.getNowMs();
    this.reclaims = this.reclaims.filter((reclaim) => reclaim.untilMs > nowMs);
    const reclaimingSlots = this.reclaims.reduce((sum, reclaim) => sum + reclaim.slots, 0);
    const shouldReclaim = !this.policy.isRenewable(Math.max(0, waiting - reclaimingSlots));
    if (shouldReclaim) {
      this.reclaims = [...this.reclaims, { slots, untilMs: nowMs + this.timing.loanTermMs }];
    }
    return shouldReclaim;
  }

  private grantSlots(update: LoanUpdate): LoanResponse['grants'] {
    const granted = this.allocateSlots(
      update.targets.slice(0, MAX_TARGETS_PER_REQUEST),
      update.wanted,
    );
    const grants = update.targets.flatMap((target, index) => {
      const slots = granted.get(target) ?? 0;
      const number = update.firstNumber + index;
      const key = LoanService.buildKey(update, number);
      if (slots === 0 || this.ledger.lent.hasLoan(key)) {
        return [];
      }
      this.ledger.lent.addLoan(key, target, slots, this.computeLoanDurationMs(update));
      return [{ number, target, slots }];
    });
    return grants;
  }

  /** Allocates slots one at a time, each from the target with the most lendable slots. */
  private allocateSlots(targets: readonly string[], wanted: number): ReadonlyMap<string, number> {
    const lendable = new Map(targets.map((target) => [target, this.countLendable(target)]));
    const granted = new Map<string, number>();
    for (let remaining = Math.min(wanted, MAX_SLOTS_PER_RESPONSE); remaining > 0; remaining -= 1) {
      const [target, maxLendable] = [...lendable].reduce((a, b) => (b[1] > a[1] ? b : a), ['', 0]);
      if (maxLendable < 1) {
        break;
      }
      lendable.set(target, maxLendable - 1);
      granted.set(target, (granted.get(target) ?? 0) + 1);
    }
    return granted;
  }

  private countLendable(target: string): number {
    if (!this.ledger.isUsable(target)) {
      return 0;
    }
    return this.policy.countLendable(
      this.ledger.countOwnedNotLent(target),
      this.ledger.countOwnedInUse(target),
      this.ledger.demand.countWaiting(target),
    );
  }
}
