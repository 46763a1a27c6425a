/**
 * The borrower's side of loans.
 *
 * Asks owners for slots while requests wait, renews loans that are in use, returns those that are
 * not. One task a group of targets asks owner after owner until enough was granted; refusals and
 * failures back off with jitter.
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
import type LoanAnswer from './LoanAnswer.js';
import type LoanUpdate from './LoanUpdate.js';
import OwnerChooser from './OwnerChooser.js';
import type OwnedSlotLedger from './OwnedSlotLedger.js';
import type ShareTiming from './ShareTiming.js';
import type ShareTransport from './ShareTransport.js';

/** How often loans are looked over for renewal and return, in milliseconds. */
const ROUND_MS = 20;
/** A loan unused for this many times the way to its owner and back is returned. */
const IDLE_ROUND_TRIPS = 3;
/** The same at least and at most, in milliseconds. */
const MIN_IDLE_MS = 10;
const MAX_IDLE_MS = 300;
/** A loan is renewed once less than this part of its term is left. */
const RENEW_SHARE = 0.5;
/** Slots asked for beyond the requests waiting, as a share of the borrowed slots in use. */
const PREFETCH_SHARE = 0.25;
/** Targets named in one request. */
const MAX_TARGETS = 64;
/** Slots asked for in one request. */
const MAX_WANTED = 64;
/** Owners asked in turn before the group of targets backs off. */
const MAX_OWNERS = 4;
/** Groups of targets asked for at the same time. */
const MAX_ASKS = 8;

type Owner = Pick<EntryVm, 'address' | 'peerAddress'>;

type Request = Pick<LoanUpdate, 'targets' | 'wanted'>;

const NO_REQUEST: Request = { targets: [], wanted: 0 };

/** Runs for the life of the process. */
export default class LoanClient implements Child {
  readonly name = 'loan-client';

  private readonly incarnation: string;

  private readonly asking = new Set<string>();

  private readonly owners: OwnerChooser;

  private readonly groupBackoff: Backoff;

  /** Numbers of loans whose grant may have been lost, by owner. */
  private readonly lost = new Map<Owner, number[]>();

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
    this.owners = new OwnerChooser(clock, random, membership, ledger.plans);
    this.groupBackoff = new Backoff(clock, random);
  }

  async run(signal: AbortSignal): Promise<void> {
    const stop = this.ledger.subscribeDemand(() => this.startAsking());
    while (!signal.aborted) {
      this.keepLoans();
      this.startAsking();
      await waitFor(this.clock, ROUND_MS, signal);
    }
    stop();
  }

  private startAsking(): void {
    for (const demand of this.ledger.demand.listFresh()) {
      const key = demand.targets.join(' ');
      if (this.asking.size < MAX_ASKS && !this.asking.has(key) && this.groupBackoff.isOver(key)) {
        this.asking.add(key);
        this.askOwners(key, demand.targets).finally(() => this.asking.delete(key));
      }
    }
  }

  private async askOwners(group: string, targets: readonly string[]): Promise<void> {
    for (const choice of this.owners.listOwners(targets, MAX_OWNERS)) {
      const wanted = this.computeWanted(group, choice.targets);
      if (wanted <= 0) {
        this.groupBackoff.remove(group);
        return;
      }
      await this.askOwner(choice.owner, { targets: choice.targets.slice(0, MAX_TARGETS), wanted });
    }
    if (this.computeWanted(group, targets) > 0) {
      this.groupBackoff.add(group);
    }
  }

  private computeWanted(group: string, targets: readonly string[]): number {
    const demand = this.ledger.demand.listFresh().find((each) => each.targets.join(' ') === group);
    if (demand === undefined) {
      return 0;
    }
    const free = targets.reduce((sum, target) => sum + this.ledger.countFree(target), 0);
    const inUse = targets.reduce((sum, target) => sum + this.ledger.borrowed.countInUse(target), 0);
    const prefetch = Math.ceil(inUse * PREFETCH_SHARE);
    return Math.min(MAX_WANTED, demand.waiting + prefetch - free);
  }

  private async askOwner(owner: Owner, request: Request): Promise<void> {
    const firstNumber = this.nextNumber;
    this.nextNumber += request.targets.length;
    const sentMs = this.clock.getMonotonicMs();
    const answer = await this.sendUpdate(owner, { firstNumber, ...request });
    if (answer === undefined) {
      const numbers = request.targets.map((_target, index) => firstNumber + index);
      this.lost.set(owner, [...(this.lost.get(owner) ?? []), ...numbers].slice(-MAX_TARGETS));
      this.owners.noteFailure(owner.address);
      return;
    }
    const granted = answer.grants.reduce((sum, grant) => sum + grant.slots, 0);
    this.owners.noteAnswer(owner.address, granted > 0);
    this.addGrants(owner, answer, sentMs);
  }

  private addGrants(owner: Owner, answer: LoanAnswer, sentMs: number): void {
    const nowMs = this.clock.getMonotonicMs();
    const endsAtMs = sentMs + this.timing.termMs;
    const idleMs = Math.max(MIN_IDLE_MS, IDLE_ROUND_TRIPS * (nowMs - sentMs));
    answer.grants.forEach(({ number, target, slots }) => {
      this.ledger.borrowed.addLoan(
        new BorrowedLoan(
          number,
          owner,
          target,
          slots,
          endsAtMs,
          nowMs,
          Math.min(MAX_IDLE_MS, idleMs),
        ),
      );
    });
    if (answer.grants.length > 0) {
      this.ledger.publishChange();
    }
  }

  /** Sends at most one message to each owner: what to return and what to renew. */
  private keepLoans(): void {
    const byOwner = new Map<string, { owner: Owner; loans: BorrowedLoan[] }>();
    for (const loan of this.ledger.borrowed.listLoans()) {
      const entry = byOwner.get(loan.owner.address) ?? { owner: loan.owner, loans: [] };
      entry.loans.push(loan);
      byOwner.set(loan.owner.address, entry);
    }
    byOwner.forEach(({ owner, loans }) => this.keepLoansOf(owner, loans));
    this.returnLost();
  }

  private keepLoansOf(owner: Owner, loans: readonly BorrowedLoan[]): void {
    const returned = loans.filter((loan) => !this.isWanted(loan) && this.giveUp(loan));
    const renewed = loans.filter((loan) => this.isWanted(loan) && this.isDue(loan));
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
    const answer = await this.sendUpdate(owner, { renewed, returned: holdings });
    const granted = new Set(answer?.renewed ?? []);
    loans.forEach((loan) =>
      loan.finishRenewal(granted.has(loan.number) ? sentMs + this.timing.termMs : undefined),
    );
  }

  /** A loan past its end, unused, or at a target that takes no new work is given back. */
  private isWanted(loan: BorrowedLoan): boolean {
    const nowMs = this.clock.getMonotonicMs();
    return nowMs < loan.getEndsAtMs() && loan.isActive(nowMs) && this.ledger.isUsable(loan.target);
  }

  private isDue(loan: BorrowedLoan): boolean {
    const leftMs = loan.getEndsAtMs() - this.clock.getMonotonicMs();
    return !loan.isRenewing() && leftMs < this.timing.termMs * RENEW_SHARE;
  }

  /** True where the owner has to be told. */
  private giveUp(loan: BorrowedLoan): boolean {
    const given = loan.lowerToInUse();
    if (loan.countInUse() === 0) {
      this.ledger.borrowed.removeLoan(loan);
    }
    return given > 0 || loan.countInUse() === 0;
  }

  private returnLost(): void {
    for (const [owner, numbers] of this.lost) {
      this.lost.delete(owner);
      const returned = numbers.map((number) => ({ number, kept: 0 }));
      this.sendUpdate(owner, { returned }).catch(() => undefined);
    }
  }

  private async sendUpdate(
    owner: Owner,
    parts: Partial<LoanUpdate>,
  ): Promise<LoanAnswer | undefined> {
    const update: LoanUpdate = {
      borrower: this.membership.getSelf().address,
      incarnation: this.incarnation,
      lastsMs: this.timing.termMs + this.ledger.getHoldMs(),
      returned: [],
      renewed: [],
      firstNumber: 0,
      ...NO_REQUEST,
      ...parts,
    };
    const answer = await this.transport.updateLoans(owner.peerAddress, update)();
    return isRight(answer) ? answer.right : undefined;
  }
}
