/**
 * Admits requests by quotas that hold over all entry VMs: each is taken from a portion that the owner of a part of its
 * customer's quota granted to this VM.
 */
import { isLeft, left, right, type Either } from 'fp-ts/lib/Either.js';
import type MemberTable from '@burdockcove/fleet/MemberTable';
import type QuotaGate from '@burdockcove/forward/admission/QuotaGate';
import type QuotaPermit from '@burdockcove/forward/admission/QuotaPermit';
import BoundedMap from '@burdockcove/runtime/BoundedMap';
import type Clock from '@burdockcove/runtime/Clock';
import type Timer from '@burdockcove/runtime/Timer';
import type Customer from '@burdockcove/types/Customer';
import type RequestFailure from '@burdockcove/types/RequestFailure';
import countParts from './countParts.js';
import makeQuotaRefusal from './makeQuotaRefusal.js';
import PatientTimer from './PatientTimer.js';
import PortionAsker from './PortionAsker.js';
import type QuotaClient from './QuotaClient.js';
import type QuotaCounts from './QuotaCounts.js';
import type QuotaOwner from './QuotaOwner.js';
import QuotaPortions from './QuotaPortions.js';
import type QuotaRefusalBasis from './QuotaRefusalBasis.js';
import type RequestedPortion from './RequestedPortion.js';
import type SentPortion from './SentPortion.js';
import VmOrder from './VmOrder.js';
import type WaitingRequest from './WaitingRequest.js';

/** Longest time for which a request waits for a portion. */
const MAX_WAIT_MS = 300;
/** Time without an answer after which other parts are asked as well. */
const LATE_MS = 200;
/**
 * Time without an answer after which the owner is taken for gone and no request waits for it. A slow process that takes
 * 300 ms, over a new connection to another region, stays below it.
 */
const SILENT_MS = 500;
/** Requests of one customer that wait; beyond them, requests are refused at once. */
const MAX_WAITING = 256;
/** Limit on customers whose portions are kept. */
const MAX_CUSTOMERS = 20_000;

/** Limit on customers that join one another's calls. */
const MAX_SHARING = 64;
/** Rate below which a customer no longer joins the calls of others. */
const MIN_SHARING_PER_S = 0.2;

const FREE: Either<never, QuotaPermit> = right({ giveBack: () => undefined });

type Admission = Either<RequestFailure, QuotaPermit>;

interface FleetQuotaDependencies {
  readonly owner: QuotaOwner;
  readonly members: MemberTable;
  readonly client: QuotaClient;
  readonly counts: QuotaCounts;
  readonly clock: Clock;
}

/** Decides at once where a portion is at hand. */
export default class FleetQuota implements QuotaGate {
  private readonly customers = new BoundedMap<string, QuotaPortions>(MAX_CUSTOMERS);

  /** Customers with several parts and recent requests, which share owners. */
  private readonly sharing = new Set<QuotaPortions>();

  private readonly asker: PortionAsker;

  private readonly order: VmOrder;

  constructor(private readonly dependencies: FleetQuotaDependencies) {
    this.asker = new PortionAsker(dependencies);
    this.order = new VmOrder(dependencies.members);
  }

  acquire({ name, quota }: Customer, deadlineAtMs: number): Promise<Admission> {
    if (quota === undefined) {
      return Promise.resolve(FREE);
    }
    const portions = this.findPortions(name);
    portions.parts = countParts(quota.ratePerS);
    portions.recordArrival();
    if (portions.parts > 1 && this.sharing.size < MAX_SHARING) {
      this.sharing.add(portions);
    }
    const permit = portions.take();
    if (permit === undefined) {
      return this.wait(portions, deadlineAtMs);
    }
    this.askIfNeeded(portions);
    return Promise.resolve(right(permit));
  }

  private wait(portions: QuotaPortions, deadlineAtMs: number): Promise<Admission> {
    const { clock, counts } = this.dependencies;
    if (portions.waiting.size >= MAX_WAITING) {
      return Promise.resolve(this.refuse(portions, 'crowded', 0));
    }
    // One request finds out whether an owner that failed is back; the others do not wait for that.
    const startedAtMs = clock.getMonotonicMs();
    if (portions.waiting.size > 0 && !portions.holds.canExpectGrant(startedAtMs)) {
      return Promise.resolve(this.refuseAtOnce(portions, startedAtMs));
    }
    return new Promise((resolve) => {
      const running: { timer?: Timer } = {};
      const request: WaitingRequest = {
        settle: (result) => {
          running.timer?.cancel();
          portions.waiting.delete(request);
          counts.waits += 1;
          counts.waitedMs += clock.getMonotonicMs() - startedAtMs;
          resolve(result);
        },
      };
      portions.waiting.add(request);
      this.askIfNeeded(portions);
      if (portions.waiting.has(request)) {
        const waitMs = Math.min(MAX_WAIT_MS, Math.max(0, deadlineAtMs - startedAtMs));
        running.timer = new PatientTimer(clock, waitMs, () =>
          request.settle(this.refuse(portions, 'late', 0)),
        );
      }
    });
  }

  /** Asks an owner if more is needed than is at hand; refuses the requests that wait if none can be asked. */
  private askIfNeeded(portions: QuotaPortions): void {
    const wanted = portions.holds.isAsking() ? 0 : portions.computeWanted();
    if (wanted === 0) {
      return;
    }
    const { customer, holds } = portions;
    const nowMs = this.dependencies.clock.getMonotonicMs();
    const part = this.findPart(portions, nowMs);
    if (part === undefined) {
      if (!holds.isAwaiting()) {
        this.refuseWaiting(portions, nowMs);
      }
      return;
    }
    const requested = { customer, part, wanted };
    const sent = this.asker.ask(requested, portions.waiting.size);
    if (sent instanceof Promise) {
      this.awaitAnswer(portions, requested, sent);
      this.askAlong(part);
    } else {
      this.apply(portions, { ...requested, wanted: portions.waiting.size }, sent);
    }
  }

  /** Returns the part of the customer's quota to ask at the monotonic time. */
  private findPart({ parts, holds }: QuotaPortions, nowMs: number): number | undefined {
    holds.setParts(this.order.choosePart(parts, holds.wasDenied(nowMs)), parts);
    return holds.findPart(nowMs);
  }

  /** Lets the other customers of the part's owner join a call that is about to be made. */
  private askAlong(part: number): void {
    if (part === 0) {
      return;
    }
    const nowMs = this.dependencies.clock.getMonotonicMs();
    this.sharing.forEach((portions) => {
      const { customer, holds } = portions;
      if (holds.isAsking()) {
        return;
      }
      if (portions.getRatePerS() < MIN_SHARING_PER_S) {
        this.sharing.delete(portions);
        return;
      }
      const wanted = portions.computeWantedAlong();
      if (wanted === 0 || this.findPart(portions, nowMs) !== part) {
        return;
      }
      const requested = { customer, part, wanted };
      const sent = this.asker.ask(requested, 0);
      if (sent instanceof Promise) {
        this.awaitAnswer(portions, requested, sent);
      }
    });
  }

  private awaitAnswer(
    portions: QuotaPortions,
    requested: RequestedPortion,
    sent: Promise<SentPortion>,
  ): void {
    const { clock } = this.dependencies;
    const { holds } = portions;
    const { part } = requested;
    const running: { timer: Timer } = {
      timer: new PatientTimer(clock, LATE_MS, () => {
        holds.recordLate(part);
        running.timer = new PatientTimer(clock, SILENT_MS - LATE_MS, () => {
          holds.recordSilent(part, clock.getMonotonicMs());
          this.askIfWaiting(portions);
        });
        this.askIfWaiting(portions);
      }),
    };
    holds.recordCall(part);
    sent.then(
      (received) => {
        running.timer.cancel();
        holds.recordCallEnd(part);
        this.apply(portions, requested, received);
      },
      () => undefined,
    );
  }

  private apply(
    portions: QuotaPortions,
    requested: RequestedPortion,
    { answer, askedAt }: SentPortion,
  ): void {
    const { clock, counts } = this.dependencies;
    counts.wanted += requested.wanted;
    if (isLeft(answer)) {
      counts.unanswered += 1;
      portions.holds.recordFailed(requested.part, clock.getMonotonicMs());
    } else if (answer.right._tag === 'NotOwner') {
      counts.unanswered += 1;
      portions.holds.recordNotOwned(requested.part, clock.getMonotonicMs());
    } else {
      portions.addPortion(requested, answer.right, askedAt);
    }
    this.serveWaiting(portions);
    this.askIfWaiting(portions);
  }

  private askIfWaiting(portions: QuotaPortions): void {
    if (portions.waiting.size > 0) {
      this.askIfNeeded(portions);
    }
  }

  private serveWaiting(portions: QuotaPortions): void {
    for (const request of portions.waiting) {
      const permit = portions.take();
      if (permit === undefined) {
        return;
      }
      request.settle(right(permit));
    }
  }

  private refuseWaiting(portions: QuotaPortions, nowMs: number): void {
    portions.waiting.forEach((request) => request.settle(this.refuseAtOnce(portions, nowMs)));
  }

  /** `nowMs` is the time at which no part could be asked; a part that is held then may not be any more. */
  private refuseAtOnce(portions: QuotaPortions, nowMs: number): Either<RequestFailure, never> {
    const { holds } = portions;
    const waitMs = holds.computeWaitMs(nowMs);
    return this.refuse(portions, holds.areAllDenied() ? 'denied' : 'unanswered', waitMs);
  }

  /** Counts a refusal and says which VMs own the parts that did not admit the request. */
  private refuse(
    portions: QuotaPortions,
    cause: QuotaRefusalBasis['cause'],
    waitMs: number,
  ): Either<RequestFailure, never> {
    const { counts } = this.dependencies;
    if (cause === 'denied') {
      counts.refusedDenied += 1;
    } else {
      counts.refusedUnanswered += 1;
    }
    const { customer, holds } = portions;
    const names = holds.listNotAdmitting().map((part) => this.asker.findOwnerName(customer, part));
    const owners = [...new Set(names)];
    return left(makeQuotaRefusal(customer, { cause, owners }, waitMs));
  }

  private findPortions(customer: string): QuotaPortions {
    const known = this.customers.get(customer);
    if (known !== undefined) {
      return known;
    }
    const { counts, clock } = this.dependencies;
    const portions = new QuotaPortions(customer, counts, clock);
    this.customers.set(customer, portions);
    return portions;
  }
}
