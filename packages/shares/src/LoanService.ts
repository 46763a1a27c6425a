/**
 * The owner's side of loans.
 */
import type LendingPolicy from './LendingPolicy.js';
import type LoanAnswer from './LoanAnswer.js';
import type LoanUpdate from './LoanUpdate.js';
import type OwnedSlotLedger from './OwnedSlotLedger.js';
import type ShareTiming from './ShareTiming.js';
import computeWaitMs from './computeWaitMs.js';

/** Targets considered in one request. */
const MAX_TARGETS = 64;
/** Slots lent in answer to one request. */
const MAX_GRANTED = 64;
/** A borrower that states a longer time is lent nothing. */
const MAX_LASTS_MS = 600_000;

/** Grants what the policy allows; safety rests on the ledger alone, which counts what is lent until its end. */
export default class LoanService {
  /** Loans whose renewal was refused, for one term. */
  private reclaims: readonly {
    readonly slots: number;
    readonly untilMs: number;
  }[] = [];

  constructor(
    private readonly ledger: OwnedSlotLedger,
    private readonly timing: ShareTiming,
    private readonly policy: LendingPolicy,
  ) {}

  updateLoans(update: LoanUpdate): LoanAnswer {
    if (update.lastsMs > MAX_LASTS_MS) {
      return { renewed: [], grants: [] };
    }
    this.removeEnded();
    update.returned.forEach(({ number, kept }) => {
      this.ledger.lent.lowerLoan(LoanService.buildKey(update, number), kept);
    });
    const renewed = update.renewed.filter(({ number, kept }) =>
      this.renewLoan(update, LoanService.buildKey(update, number), kept),
    );
    const grants = this.grantSlots(update);
    if (update.returned.length > 0) {
      this.ledger.publishChange();
    }
    return { renewed: renewed.map(({ number }) => number), grants };
  }

  /** Takes back the slots of loans whose time has passed. */
  removeEnded(): void {
    if (this.ledger.lent.removeEnded()) {
      this.ledger.publishChange();
    }
  }

  private static buildKey(update: LoanUpdate, number: number): string {
    return `${update.borrower} ${update.incarnation} ${number}`;
  }

  private computeLastsMs(update: LoanUpdate): number {
    return computeWaitMs(update.lastsMs, this.timing);
  }

  private renewLoan(update: LoanUpdate, key: string, kept: number): boolean {
    const { lent, demand } = this.ledger;
    lent.lowerLoan(key, kept);
    const target = lent.getTarget(key);
    return (
      target !== undefined &&
      this.ledger.isUsable(target) &&
      this.ledger.countOwnedNotLent(target) >= this.ledger.countOwnedInUse(target) &&
      !this.reclaimSlots(kept, demand.countWaiting(target)) &&
      lent.renewLoan(key, this.computeLastsMs(update))
    );
  }

  /** Refuses a renewal while fewer slots are on their way back than requests wait here. */
  private reclaimSlots(slots: number, waiting: number): boolean {
    const nowMs = this.ledger.getNowMs();
    this.reclaims = this.reclaims.filter((reclaim) => reclaim.untilMs > nowMs);
    const underWay = this.reclaims.reduce((sum, reclaim) => sum + reclaim.slots, 0);
    const isNeeded = !this.policy.isRenewable(Math.max(0, waiting - underWay));
    if (isNeeded) {
      this.reclaims = [...this.reclaims, { slots, untilMs: nowMs + this.timing.termMs }];
    }
    return isNeeded;
  }

  private grantSlots(update: LoanUpdate): LoanAnswer['grants'] {
    const granted = this.shareOut(update.targets.slice(0, MAX_TARGETS), update.wanted);
    const grants = update.targets.flatMap((target, index) => {
      const slots = granted.get(target) ?? 0;
      const number = update.firstNumber + index;
      const key = LoanService.buildKey(update, number);
      if (slots === 0 || this.ledger.lent.hasLoan(key)) {
        return [];
      }
      this.ledger.lent.addLoan(key, target, slots, this.computeLastsMs(update));
      return [{ number, target, slots }];
    });
    return grants;
  }

  /** One slot at a time from the target with the most to lend. */
  private shareOut(targets: readonly string[], wanted: number): ReadonlyMap<string, number> {
    const lendable = new Map(targets.map((target) => [target, this.countLendable(target)]));
    const granted = new Map<string, number>();
    for (let left = Math.min(wanted, MAX_GRANTED); left > 0; left -= 1) {
      const [target, most] = [...lendable].reduce((a, b) => (b[1] > a[1] ? b : a), ['', 0]);
      if (most < 1) {
        break;
      }
      lendable.set(target, most - 1);
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
