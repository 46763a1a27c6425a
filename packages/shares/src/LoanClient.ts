/**
 * Borrower's side of the loan protocol.
 *
 * Requests slots from owners while requests wait, renews loans that are in use and returns unused
 * ones. For each group of targets, one task contacts owners one after another until enough slots
 * are granted. Refusals and failures trigger a backoff with jitter.
 */
import { isRight } from 'fp-ts/lib/Either.js';
import type EntryVm from '@burdockcove/types/EntryVm';
import type Membership from '@burdockcove/types/Membership';
import type Child from '@burdockcove/runtime/Child';
import type Clock from '@burdockcove/runtime/Clock';
import type Random from '@burdockcove/runtime/Random';
import waitFor from '@burdockcove/runtime/waitFor';
import Backoff from './Backoff.js';
import BorrowedLoan from './BorrowedLoan.js';
import type LoanResponse from './LoanResponse.js';
import type LoanUpdate from './LoanUpdate.js';
import OwnerRanker from './OwnerRanker.js';
import type OwnedSlotLedger from './OwnedSlotLedger.js';
import type ShareTiming from './ShareTiming.js';
import type ShareTransport from './ShareTransport.js';

/** Interval at which loans are checked for renewal and return. */
const MAINTENANCE_INTERVAL_MS = 20;
/** A loan that is unused for this many round trips to its owner is returned. */
const IDLE_ROUND_TRIPS = 3;
/** Bounds of that idle time. */
const MIN_IDLE_MS = 10;
const MAX_IDLE_MS = 300;
/** A loan is renewed when less than this fraction of its term remains. */
const RENEWAL_THRESHOLD_RATIO = 0.5;
/**
 * Slots requested in addition to the waiting requests, as a fraction of the borrowed slots in use.
 */
const PREFETCH_RATIO = 0.25;
const MAX_TARGETS_PER_REQUEST = 64;
const MAX_SLOTS_PER_REQUEST = 64;
/** Owners contacted in sequence before the group of targets backs off. */
const MAX_OWNERS_PER_ATTEMPT = 4;
/** Groups of targets for which slots are requested concurrently. */
const MAX_CONCURRENT_REQUESTS = 8;

type Owner = Pick<EntryVm, 'address' | 'peerAddress'>;

type Request = Pick<LoanUpdate, 'targets' | 'wanted'>;

const NO_REQUEST: Request = { targets: [], wanted: 0 };

/** Runs for the lifetime of the process. */
export default class LoanClient implements Child {
  readonly name = 'loan-client';

  private readonly incarnation: string;

  private readonly pendingGroups = new Set<string>();

  private readonly ownerRanker: OwnerRanker;

  private readonly groupBackoff: Backoff;

  /** Numbers of loans whose grant may have been lost in transit, by owner. */
  private readonly lostGrants = new Map<Owner, number[]>();

  private nextNumber = 1;

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly timing: ShareTiming,
    private readonly membership: Membership,
    private readonly ledger: OwnedSlotLedger,
    private readonly transport: ShareTransport,
  ) {
    this.incarnation = `${clock.getWallMs().toString(36)}-${random.nextInt(2 ** 31).toString(36)}`;
    this.ownerRanker = new OwnerRanker(clock, random, membership, ledger.plans);
    this.groupBackoff = new Backoff(clock, random);
  }

  async run(signal: AbortSignal): Promise<void> {
    const unsubscribe = this.ledger.subscribeDemand(() => this.startSlotRequests());
    while (!signal.aborted) {
      this.maintainLoans();
      this.startSlotRequests();
      await waitFor(this.clock, MAINTENANCE_INTERVAL_MS, signal);
    }
    unsubscribe();
  }

  private startSlotRequests(): void {
    for (const demand of this.ledger.demand.listCurrent()) {
      const key = demand.targets.join(' ');
      if (
        this.pendingGroups.size < MAX_CONCURRENT_REQUESTS &&
        !this.pendingGroups.has(key) &&
        this.groupBackoff.canRetry(key)
      ) {
        this.pendingGroups.add(key);
        this.requestSlots(key, demand.targets).finally(() => this.pendingGroups.delete(key));
      }
    }
  }

  private async requestSlots(group: string, targets: readonly string[]): Promise<void> {
    for (const choice of this.ownerRanker.rankOwners(targets, MAX_OWNERS_PER_ATTEMPT)) {
      const wanted = this.computeWantedSlots(group, choice.targets);
      if (wanted <= 0) {
        this.groupBackoff.reset(group);
        return;
      }
      await this.requestSlotsFrom(choice.owner, {
        targets: choice.targets.slice(0, MAX_TARGETS_PER_REQUEST),
        wanted,
      });
    }
    if (this.computeWantedSlots(group, targets) > 0) {
      this.groupBackoff.recordFailure(group);
    }
  }

  private computeWantedSlots(group: string, targets: readonly string[]): number {
    const demand = this.ledger.demand
      .listCurrent()
      .find((entry) => entry.targets.join(' ') === group);
    if (demand === undefined) {
      return 0;
    }
    const free = targets.reduce((sum, target) => sum + this.ledger.countFree(target), 0);
    const inUse = targets.reduce((sum, target) => sum + this.ledger.borrowed.countInUse(target), 0);
    const prefetch = Math.ceil(inUse * PREFETCH_RATIO);
    return Math.min(MAX_SLOTS_PER_REQUEST, demand.waiting + prefetch - free);
  }

  private async requestSlotsFrom(owner: Owner, request: Request): Promise<void> {
    const firstNumber = this.nextNumber;
    this.nextNumber += request.targets.length;
    const sentMs = this.clock.getMonotonicMs();
    const response = await this.sendUpdate(owner, { firstNumber, ...request });
    if (response === undefined) {
      const numbers = request.targets.map((_target, index) => firstNumber + index);
      this.lostGrants.set(
        owner,
        [...(this.lostGrants.get(owner) ?? []), ...numbers].slice(-MAX_TARGETS_PER_REQUEST),
      );
      this.ownerRanker.recordFailure(owner.address);
      return;
    }
    const granted = response.grants.reduce((sum, grant) => sum + grant.slots, 0);
    this.ownerRanker.recordResponse(owner.address, granted > 0);
    this.addGrants(owner, response, sentMs);
  }

  private addGrants(owner: Owner, response: LoanResponse, sentMs: number): void {
    const nowMs = this.clock.getMonotonicMs();
    const expiresAtMs = sentMs + this.timing.loanTermMs;
    const idleMs = Math.max(MIN_IDLE_MS, IDLE_ROUND_TRIPS * (nowMs - sentMs));
    response.grants.forEach(({ number, target, slots }) => {
      this.ledger.borrowed.addLoan(
        new BorrowedLoan(
          number,
          owner,
          target,
          slots,
          expiresAtMs,
          nowMs,
          Math.min(MAX_IDLE_MS, idleMs),
        ),
      );
    });
    if (response.grants.length > 0) {
      this.ledger.notifyListeners();
    }
  }

  /** Sends at most one message to each owner, with the loans to return and to renew. */
  private maintainLoans(): void {
    const byOwner = new Map<string, { owner: Owner; loans: BorrowedLoan[] }>();
    for (const loan of this.ledger.borrowed.listLoans()) {
      const entry = byOwner.get(loan.owner.address) ?? { owner: loan.owner, loans: [] };
      entry.loans.push(loan);
      byOwner.set(loan.owner.address, entry);
    }
    byOwner.forEach(({ owner, loans }) => this.maintainLoansOf(owner, loans));
    this.returnLostGrants();
  }

  private maintainLoansOf(owner: Owner, loans: readonly BorrowedLoan[]): void {
    const returned = loans.filter((loan) => !this.isNeeded(loan) && this.releaseUnused(loan));
    const renewed = loans.filter((loan) => this.isNeeded(loan) && this.isRenewalDue(loan));
    if (returned.length + renewed.length > 0) {
      this.renewLoans(owner, renewed, returned).catch(() => undefined);
    }
  }

  private async renewLoans(
    owner: Owner,
    loans: readonly BorrowedLoan[],
    returned: readonly BorrowedLoan[],
  ): Promise<void> {
    const sentMs = this.clock.getMonotonicMs();
    const renewed = loans.map((loan) => ({ number: loan.number, kept: loan.startRenewal() }));
    const holdings = returned.map((loan) => ({ number: loan.number, kept: loan.countSlots() }));
    const response = await this.sendUpdate(owner, { renewed, returned: holdings });
    const granted = new Set(response?.renewed ?? []);
    loans.forEach((loan) =>
      loan.finishRenewal(granted.has(loan.number) ? sentMs + this.timing.loanTermMs : undefined),
    );
  }

  /**
   * Whether to keep the loan. Loans that expired, are idle, or belong to a target that takes no new
   * requests are returned.
   */
  private isNeeded(loan: BorrowedLoan): boolean {
    const nowMs = this.clock.getMonotonicMs();
    return (
      nowMs < loan.getExpiresAtMs() && loan.isActive(nowMs) && this.ledger.isUsable(loan.target)
    );
  }

  private isRenewalDue(loan: BorrowedLoan): boolean {
    const remainingMs = loan.getExpiresAtMs() - this.clock.getMonotonicMs();
    return (
      !loan.isRenewalPending() && remainingMs < this.timing.loanTermMs * RENEWAL_THRESHOLD_RATIO
    );
  }

  /** Releases unused slots and returns whether the owner has to be notified. */
  private releaseUnused(loan: BorrowedLoan): boolean {
    const releasedSlots = loan.releaseUnusedSlots();
    if (loan.countInUse() === 0) {
      this.ledger.borrowed.removeLoan(loan);
    }
    return releasedSlots > 0 || loan.countInUse() === 0;
  }

  private returnLostGrants(): void {
    for (const [owner, numbers] of this.lostGrants) {
      this.lostGrants.delete(owner);
      const returned = numbers.map((number) => ({ number, kept: 0 }));
      this.sendUpdate(owner, { returned }).catch(() => undefined);
    }
  }

  private async sendUpdate(
    owner: Owner,
    changes: Partial<LoanUpdate>,
  ): Promise<LoanResponse | undefined> {
    const update: LoanUpdate = {
      borrower: this.membership.getSelf().address,
      incarnation: this.incarnation,
      lastsMs: this.timing.loanTermMs + this.ledger.getMaxHoldMs(),
      returned: [],
      renewed: [],
      firstNumber: 0,
      ...NO_REQUEST,
      ...changes,
    };
    const response = await this.transport.updateLoans(owner.peerAddress, update)();
    return isRight(response) ? response.right : undefined;
  }
}
